#include "control/control_cluster.h"
#include "processor_time.h"

#include "wire/configuration_codec.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
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

    /// Announces a configuration to a VM. Returns the answer; nothing if the VM wants to read it.
    std::optional<change_answer> announce(std::size_t vm)
    {
        using outcome = std::optional<change_answer>;
        auto promise = std::make_shared<std::promise<outcome>>();
        std::future<outcome> given = promise->get_future();
        cluster.inboxOf(vm).post(
            change_announced{.id = {7, version},
                             .answer = [promise](const change_answer &answer) { promise->set_value(answer); },
                             .read =
                                 [promise] {
                                     promise->set_value(std::nullopt);
                                 }});
        BOOST_REQUIRE(given.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
        return given.get();
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

// Guards against VMs that read a large configuration for nothing: one that doesn't lead, or when it was decided before.
BOOST_AUTO_TEST_CASE(announcement_sentAgainAndToOtherVms_readByTheLeaderOnlyAndOnce)
{
    const replace_all edit = configurationOf(10);
    const std::size_t leader = cluster.waitForLeader();
    const std::size_t follower = (leader + 1) % vms;
    const std::optional<change_answer> refused = announce(follower);
    BOOST_REQUIRE(refused);
    BOOST_CHECK(refused->code == result_code::NotLeader);
    BOOST_CHECK(!announce(leader));
    BOOST_REQUIRE(submit(edit).code == result_code::Ok);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        cluster.waitUntil([&] { return cluster.statusOf(vm).accepted->externalVersion == version; });
        const std::optional<change_answer> again = announce(vm);
        BOOST_REQUIRE(again);
        BOOST_CHECK(again->code == result_code::Ok);
        BOOST_TEST(again->atRevision.value == 1U);
    }
}

// Guards against an order that becomes a second record of the log when it is sent again while it is under way.
BOOST_AUTO_TEST_CASE(announcement_changeUnderWay_answeredWithItsOutcome)
{
    configurationOf(10);
    const std::size_t leader = cluster.waitForLeader();
    for (std::size_t vm = 0; vm < vms; ++vm) {
        if (vm != leader) {
            cluster.stop(vm); // No quorum is left, so that the change stays under way.
        }
    }
    cluster.inboxOf(leader).post(
        encoded_change_submitted{.id = {7, version}, .proposal = {std::byte{0}}, .answer = [](const change_answer &) {
                                 }});
    const std::optional<change_answer> joined = announce(leader);
    BOOST_REQUIRE(joined);
    BOOST_CHECK(joined->code == result_code::ChangeOutcomeUnknown || joined->code == result_code::NotLeader);
}

// Guards against a change that is acknowledged before other VMs can hear of it: the leader stood still between the two.
BOOST_AUTO_TEST_CASE(change_acknowledged_publishedBefore)
{
    const std::vector<std::byte> proposal = encodeNewProposal(
        {operator_role::Operator, {}}, {.id = {7, 1}, .expectedRevision = {}, .changes = {configurationOf(1)}});
    const std::size_t leader = cluster.waitForLeader();
    auto promise = std::make_shared<std::promise<std::size_t>>();
    std::future<std::size_t> published = promise->get_future();
    cluster.inboxOf(leader).post(
        encoded_change_submitted{{7, 1}, proposal, [this, leader, promise](const change_answer &) {
                                     promise->set_value(cluster.publishedCountOf(leader));
                                 }});
    const std::size_t before = cluster.publishedCountOf(leader);
    BOOST_REQUIRE(published.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
    BOOST_TEST(published.get() == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
