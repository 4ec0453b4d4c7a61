#include "configuration/configuration_fixture.h"

#include "wire/configuration_codec.h"

#include <guavafront/coordination/configuration/configuration_difference.h>

#include <boost/test/unit_test.hpp>

#include <numeric>
#include <random>
#include <string>

namespace guavafront
{

namespace
{

/// Builds whole configurations as an outside operator sends them, version after version.
struct configuration_difference_fixture : configuration_fixture {
    /// Configuration with one account, key and route for each number; services, splits and limits are random.
    static configuration wholeOf(std::uint64_t version, std::span<const int> numbers, std::mt19937_64 &random)
    {
        configuration value;
        value.externalVersion = version;
        value.document = "{\"version\":" + std::to_string(version) + "}";
        for (const int number : numbers) {
            const std::string name = std::to_string(number);
            const account_id placeholder{static_cast<std::uint32_t>(number + 1)};
            value.accounts.push_back({.id = placeholder, .name = "a" + name, .priority = random() % 2 == 0 ? 1U : 0U});
            key_hash hash = hashOf(static_cast<unsigned char>(number));
            hash[0] = static_cast<std::byte>(number >> 8);
            hash[1] = static_cast<std::byte>(random() % 3);
            value.keys.push_back({"k" + name, hash, placeholder});
            route each{.host = "h.example", .pathPrefix = "/" + name + "/", .kind = "lista"};
            each.service = "s" + std::to_string(random() % 3);
            if (random() % 4 == 0) {
                each.split = {{"s0", 1.5}, {"s1", 2}};
            }
            value.routes.push_back(std::move(each));
        }
        if (random() % 2 == 0) {
            value.warmups = {
                {.service = "s0", .warmupMs = 3'000, .perSecond = 1.0 + static_cast<double>(random() % 3)}};
        }
        value.limits.idleTimeoutMs = static_cast<std::uint32_t>(random() % 3) * 1'000;
        return value;
    }

    /// The configuration without its document, as it results from applying differences.
    static configuration served(configuration value)
    {
        value.document.clear();
        return value;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_difference_test, configuration_difference_fixture)

BOOST_AUTO_TEST_CASE(difference_wholeConfigurationsInTurn_sameAsReplacing)
{
    std::mt19937_64 random(4);
    configuration replaced;
    configuration followed;
    for (std::uint64_t version = 1; version <= 200; ++version) {
        std::vector<int> numbers;
        for (int number = 0; number < 12; ++number) {
            if (random() % 3 != 0) {
                numbers.push_back(number);
            }
        }
        const configuration before = replaced;
        replaced = applyChanges(replaced, std::vector<change>{replace_all{wholeOf(version, numbers, random)}});
        const std::vector<change> sent{differenceBetween(before, replaced)};
        followed = applyChanges(followed, decodeChanges(encodeChanges(sent)));
        BOOST_REQUIRE((followed == served(replaced)));
    }
}

// Guards against fields at the end that are taken for each other when some of them are left out.
BOOST_AUTO_TEST_CASE(encoding_lastFieldsLeftOut_sameValue)
{
    for (unsigned set = 0; set < 4; ++set) {
        for (const bool empty : {false, true}) {
            configuration_difference difference;
            configuration whole;
            if ((set & 1U) != 0) {
                whole.evacuations = {{.dataCentre = "occ-a", .inForce = true, .startedMs = 7}};
                difference.evacuations = empty ? std::vector<evacuation>() : whole.evacuations;
            }
            if ((set & 2U) != 0) {
                whole.warmups = {{.service = "s0", .warmupMs = 3'000, .perSecond = 5.8}};
                difference.warmups = empty ? std::vector<service_warmup>() : whole.warmups;
            }
            const std::vector<change> changes{difference};
            BOOST_TEST((decodeChanges(encodeChanges(changes)) == changes), "set " << set);
            BOOST_TEST((decodeConfiguration(encodeConfiguration(whole)) == whole), "set " << set);
        }
    }
}

BOOST_AUTO_TEST_CASE(difference_oneOfManyRoutesChanged_small)
{
    std::mt19937_64 random(5);
    std::vector<int> numbers(400);
    std::iota(numbers.begin(), numbers.end(), 0);
    configuration next = wholeOf(1, numbers, random);
    const configuration before = applyChanges({}, std::vector<change>{replace_all{next}});
    next.externalVersion = 2;
    next.routes[7].timeoutMs = 900;
    const configuration after = applyChanges(before, std::vector<change>{replace_all{next}});
    const std::vector<change> sent{differenceBetween(before, after)};
    BOOST_TEST(encodeChanges(sent).size() < 200U);
}

BOOST_AUTO_TEST_CASE(proposal_differenceFromAnOperator_refused)
{
    const change_proposal proposal{.author = fleetOperator(),
                                   .request = {.id = {1, 2},
                                               .expectedRevision = log.current.atRevision,
                                               .changes = {differenceBetween(configuration{}, log.current)}}};
    const change_answer answer = decide(log, proposal);
    BOOST_TEST((answer.code == result_code::ChangeInvalid));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
