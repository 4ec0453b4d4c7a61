#include "platform/platform_configuration.h"

#include "wire/configuration_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <random>

namespace guavafront
{

namespace
{

constexpr std::uint32_t keyValidityMs = 4'700;

/// Provides a complete configuration as the operator sends it, and edited copies of it.
struct platform_configuration_fixture {
    std::string body =
        R"({"Version":7,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,)"
        R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"yefi830","ApiKeys":["key-one","key-two"],"Priority":1,)"
        R"("RatePerS":46,"Burst":40},{"Name":"open2","ApiKeys":["key-three"]}],"Listeners":[{"Host":"Hulo84.example",)"
        R"("RuleSet":[{"Name":"r-1","Kind":"non_idempotent","TargetLatencyMs":2000,"Priority":1,"Public":false,)"
        R"("Match":{"PathPrefix":"/xapu221/"},"Action":{"Service":"wuno","TimeoutMs":6000,"MaxAttempts":2}},)"
        R"({"Name":"r-2","Kind":"idempotent","Public":true,"Match":{"PathPrefix":"/lepu/"},)"
        R"("Action":{"TrafficSplit":[{"Service":"huvo","Weight":90},{"Service":"kafi","Weight":10}],)"
        R"("TimeoutMs":4000,"MaxAttempts":3}}]}],"Clusters":[{"Name":"huvo"},{"Name":"kafi"},{"Name":"wuno"}]})";

    std::string with(std::string_view from, std::string_view to) const
    {
        std::string edited = body;
        const std::size_t at = edited.find(from);
        BOOST_REQUIRE(at != std::string::npos);
        return edited.replace(at, from.size(), to);
    }

    static bool isRefused(std::string_view text)
    {
        try {
            configurationFromPlatform(text, keyValidityMs);
            return false;
        } catch (const coordination_error &fault) {
            return fault.code() == result_code::ChangeInvalid && !std::string(fault.what()).empty();
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_configuration_test, platform_configuration_fixture)

BOOST_AUTO_TEST_CASE(configuration_limitsOfColdInstances_translatedAndCarried)
{
    const std::string edited = with(R"({"Name":"kafi"},{"Name":"wuno"})",
                                    R"({"Name":"wuno","WarmupS":3,"WarmupPerS":5.8},{"Name":"kafi","WarmupS":2})");
    const replace_all translated = configurationFromPlatform(edited, keyValidityMs);
    BOOST_TEST((translated.value.warmups
                == std::vector<service_warmup>{{.service = "wuno", .warmupMs = 3'000, .perSecond = 5.8}}));
    BOOST_TEST((decodeConfiguration(encodeConfiguration(translated.value)) == translated.value));
    BOOST_TEST(isRefused(with(R"({"Name":"kafi"})", R"({"Name":"kafi","WarmupPerS":-1})")));
    BOOST_TEST(isRefused(with(R"({"Name":"kafi"})", R"({"Name":"kafi","WarmupPerS":"5"})")));
}

BOOST_AUTO_TEST_CASE(configuration_complete_translated)
{
    const configuration translated = configurationFromPlatform(body, keyValidityMs).value;
    BOOST_TEST(translated.externalVersion == 7U);
    BOOST_TEST(translated.document == body);
    BOOST_TEST(translated.defaults.stalenessLimitMs == keyValidityMs);
    BOOST_TEST(translated.limits.headerTimeoutMs == 3000U);
    BOOST_REQUIRE(translated.routes.size() == 2U);
    BOOST_TEST(translated.routes[0].host == "hulo84.example");
    BOOST_TEST((translated.routes[0].repeats == repeatability::NotRepeatable));
    BOOST_TEST(!translated.routes[0].openToAll);
    BOOST_TEST(translated.routes[0].maxAttempts == 2U);
    BOOST_TEST((translated.routes[1].repeats == repeatability::Repeatable));
    BOOST_TEST(translated.routes[1].openToAll);
    BOOST_REQUIRE(translated.routes[1].split.size() == 2U);
    BOOST_TEST(translated.routes[1].split[0].weight == 90);
    BOOST_TEST(translated.accounts.size() == 2U);
    BOOST_TEST(translated.keys.size() == 3U);
}

// Guards against a valid configuration that is refused since many client accounts have limits of their own.
BOOST_AUTO_TEST_CASE(configuration_thousandsOfTenantsWithQuotas_accepted)
{
    constexpr std::size_t tenants = 3'000;
    std::string list = R"("Tenants":[)";
    for (std::size_t number = 0; number < tenants; ++number) {
        const std::string name = std::to_string(number);
        list += R"({"Name":"t)" + name + R"(","ApiKeys":["key-)" + name + R"("],"RatePerS":46,"Burst":40},)";
    }
    const configuration translated = configurationFromPlatform(with(R"("Tenants":[)", list), keyValidityMs).value;
    BOOST_TEST(translated.accounts.size() == tenants + 2);
    BOOST_TEST(translated.exceptions.size() == 2 * translated.accounts.size());
}

BOOST_AUTO_TEST_CASE(configuration_encodedAndDecoded_unchanged)
{
    change_request request{
        .id = {1, 2}, .expectedRevision = {}, .changes = {configurationFromPlatform(body, keyValidityMs)}};
    const change_proposal proposal = makeProposal({.role = operator_role::Operator, .accountName = {}}, request);
    BOOST_TEST((decodeProposal(encodeProposal(proposal)) == proposal));
}

BOOST_AUTO_TEST_CASE(configuration_withoutTenants_routesOpen)
{
    const std::size_t first = body.find(R"("Tenants":)");
    const std::size_t last = body.find(R"("Listeners")");
    const configuration translated =
        configurationFromPlatform(std::string(body).erase(first, last - first), keyValidityMs).value;
    BOOST_TEST(translated.routes[0].openToAll);
}

BOOST_AUTO_TEST_CASE(configuration_invalid_refusedNamingTheFault)
{
    BOOST_TEST(isRefused(body.substr(0, body.size() / 2)));
    BOOST_TEST(isRefused(with(R"("Service":"wuno")", R"("Service":"nobody")")));
    BOOST_TEST(isRefused(with(R"("Weight":90)", R"("Weight":-1)")));
    BOOST_TEST(isRefused(with(R"("TimeoutMs":6000)", R"("TimeoutMs":0)")));
    BOOST_TEST(isRefused(with(R"("MaxAttempts":2)", R"("MaxAttempts":0)")));
    BOOST_TEST(isRefused(with(R"("/xapu221/")", R"("xapu221/")")));
    BOOST_TEST(isRefused(with(R"("non_idempotent")", R"("sometimes")")));
    BOOST_TEST(isRefused(with(R"("key-three")", R"("key-one")")));
    BOOST_TEST(isRefused(with(R"("/lepu/")", R"("/xapu221/")")));
    BOOST_TEST(isRefused(with(R"("Version":7)", R"("Version":"7")")));
    BOOST_TEST(isRefused("[]"));
}

BOOST_AUTO_TEST_CASE(configuration_mutatedBytes_refusedOrComplete)
{
    std::mt19937 random(4);
    std::uniform_int_distribution<std::size_t> position(0, body.size() - 1);
    std::uniform_int_distribution<int> byte(1, 255);
    for (int round = 0; round < 2'000; ++round) {
        std::string mutated = body;
        mutated[position(random)] = static_cast<char>(byte(random));
        mutated[position(random)] = static_cast<char>(byte(random));
        try {
            BOOST_TEST(configurationFromPlatform(mutated, keyValidityMs).value.externalVersion > 0U);
        } catch (const coordination_error &fault) {
            BOOST_TEST((fault.code() == result_code::ChangeInvalid));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
