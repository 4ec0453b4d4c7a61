#include "control/control_cluster.h"
#include "processor_time.h"

#include "wire/configuration_codec.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace guavafront
{

namespace
{

/// Cluster of three control VMs that take configurations of thousands of routes, as an outside operator sends them.
struct large_configuration_fixture {
    static constexpr std::size_t vms = 3;
    control_cluster cluster{vms};
    std::uint64_t version = 0; ///< Version of the latest configuration.

    large_configuration_fixture()
    {
        cluster.waitUntil([this] {
            cluster.announceAll();
            return voterCount(cluster.statusOf(cluster.waitForLeader()).members) == vms;
        });
    }

    /// A configuration of so many routes, with a document of the size that an operator's has.
    replace_all configurationOf(std::size_t routes)
    {
        constexpr std::size_t documentBytesPerRoute = 200;
        replace_all edit;
        edit.value.externalVersion = ++version;
        for (std::uint32_t number = 1; number <= routes; ++number) {
            // Names without a pattern, which compress as badly as those of real services.
            const std::string name = std::to_string(number * 2'654'435'761U);
            edit.value.routes.push_back({.id = {number},
                                         .host = "reservas.example",
                                         .pathPrefix = "/" + name + "/" + std::to_string(number * 40'503U) + "/",
                                         .service = "reservas",
                                         .kind = "reserva-" + name,
                                         .repeats = repeatability::NotRepeatable,
                                         .timeoutMs = 4'000,
                                         .targetLatencyMs = 1'200,
                                         .priority = 1,
                                         .maxAttempts = 2});
            std::string rule = R"({"Name":")" + name + R"(","Match":{"PathPrefix":"/)" + name + R"(/"}})";
            rule.resize(documentBytesPerRoute, ' ');
            edit.value.document += rule;
        }
        edit.value.lastRouteId = {static_cast<std::uint32_t>(routes)};
        return edit;
    }

    /// Has the leader decide about a configuration and returns its answer.
    change_answer submit(const replace_all &edit)
    {
        return cluster.submitEncodedToLeader({.id = {7, version}, .expectedRevision = {}, .changes = {edit}});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(large_configuration_test, large_configuration_fixture)

// Guards against control VMs that lose their leadership over a growing configuration, one after the other: a control
// task took longer for one than a leader's silence may last.
BOOST_AUTO_TEST_CASE(configuration_growsToThePlannedRoutes_controlTasksAnswerHeartbeatsMeanwhile)
{
    constexpr double coreShare = 0.15; // Of a control VM.
    constexpr double limitMs = 600 * coreShare; // Processor time of a control VM in the shortest election timeout.
    for (const std::size_t routes : {2'800U, 5'600U, 8'400U, 12'000U}) {
        const replace_all edit = configurationOf(routes);
        std::array<double, vms> before{};
        for (std::size_t vm = 0; vm < vms; ++vm) {
            before[vm] = cluster.processorMillisecondsOf(vm);
        }
        BOOST_REQUIRE(submit(edit).code == result_code::Ok);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            cluster.waitUntil([&] { return cluster.statusOf(vm).accepted->externalVersion == version; });
            const double used = cluster.processorMillisecondsOf(vm) - before[vm];
            BOOST_TEST_CONTEXT(routes << " routes, VM " << vm)
            BOOST_TEST(used < limitMs);
        }
    }
}

// Guards against a valid configuration that is refused for its size, with all later ones that hold its routes.
BOOST_AUTO_TEST_CASE(configuration_plannedNumberOfRoutes_acceptedAndKeptOverRestarts)
{
    constexpr std::size_t routes = 12'000;
    BOOST_REQUIRE(submit(configurationOf(routes)).code == result_code::Ok);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cluster.stop(vm);
    }
    cluster.loseDisk(0);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cluster.start(vm);
    }
    BOOST_TEST(cluster.confirmedStatus().accepted->routes.size() == routes);
    BOOST_CHECK(submit(configurationOf(routes + 1)).code == result_code::Ok);
    BOOST_TEST(cluster.confirmedStatus().accepted->routes.size() == routes + 1);
}

// Guards against a configuration over the limit that keeps later, smaller ones away, or is refused without a reason.
BOOST_AUTO_TEST_CASE(configuration_overTheLimit_refusedByItsSizeAndSmallerOneAccepted)
{
    constexpr std::size_t tooMany = 60'000;
    const replace_all large = configurationOf(tooMany);
    BOOST_CHECK_EXCEPTION(submit(large), coordination_error,
                          [](const coordination_error &fault) { return fault.code() == result_code::RequestTooLarge; });
    BOOST_CHECK(submit(configurationOf(1)).code == result_code::Ok);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
