#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An entry VM that chooses by affinity, among 124 of which the others are near the instances, so that it is no sender.
/// Instances 3 and 4 of flagsja have a limit.
struct entry_warmup_fixture : entry_fixture {
    entry_warmup_fixture()
    {
        state.selection.policy = balancing_policy::Affinity;
        state.selection.warmups.bounds = {.overshoot = 1.5, .slack = 8};
        draft->warmups = {{.service = "flagsja", .warmupMs = 3'000, .perSecond = 5.8}};
        applyDraft();
        showFleet(124, "gdl-a");
        run(hub_loads_received{});
    }

    /// Shows the VM the entry VMs of the fleet; the others are in the given data centre.
    void showFleet(std::uint64_t vms, const std::string &dataCentreOfOthers)
    {
        fleet_changed event;
        for (std::uint64_t id = 1; id <= vms; ++id) {
            event.entries.live.push_back({{id}, id == 1 ? "occ-a" : dataCentreOfOthers});
        }
        run(event);
    }

    void tellCold(std::uint64_t id, duration left = seconds(3))
    {
        run(warmups_reported{{{{id}, left}}});
    }

    /// Sends a request and returns the instance that it was sent to; 0 when it wasn't sent.
    std::uint64_t target()
    {
        const exchange_id id = request("GET", "/flags/1");
        const auto *started = find<start_attempt>();
        const std::uint64_t instance = started ? started->instance.value : 0;
        if (started) {
            run(attempt_ended{
                id, {.outcome = attempt_outcome::Answered, .status = 200, .latency = milliseconds(5)}, {}});
        }
        return instance;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_warmup_test, entry_warmup_fixture)

BOOST_AUTO_TEST_CASE(request_oneInstanceCold_othersTakeTheLoad)
{
    tellCold(3);
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(target() == 4U);
    }
    now += seconds(3);
    run(time_passed{});
    run(hub_loads_received{});
    const exchange_id id = request("GET", "/flags/1");
    BOOST_REQUIRE(find<start_attempt>());
    const std::uint64_t first = find<start_attempt>()->instance.value;
    run(attempt_ended{id, {.outcome = attempt_outcome::ConnectFailed}, {}});
    BOOST_REQUIRE(find<start_attempt>()); // Warm again, the instance is there for retries at least.
    BOOST_TEST(find<start_attempt>()->instance.value == 7 - first);
}

// A caller must be told that the request did not run, and when an instance is warm.
BOOST_AUTO_TEST_CASE(request_onlyColdInstances_refusedNotRunUntilWarm)
{
    tellCold(3);
    tellCold(4, seconds(2));
    request("GET", "/flags/1");
    BOOST_TEST(refused(result_code::NoCapacity, execution::NotRun));
    const duration pause = find<refuse_request>()->reason.retryAfter;
    BOOST_TEST((pause >= seconds(2) && pause < milliseconds(2'400)));
}

// Guards against retries that get around the parts.
BOOST_AUTO_TEST_CASE(retry_onlyColdInstanceLeft_notSentThere)
{
    tellCold(3);
    const exchange_id id = request("GET", "/flags/1");
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST(find<start_attempt>()->instance.value == 4U);
    run(attempt_ended{id, {.outcome = attempt_outcome::ConnectFailed}, {}});
    BOOST_TEST(!find<start_attempt>());
    BOOST_TEST(find<refuse_request>());
}

// Guards against trials of avoided instances that get around the parts.
BOOST_AUTO_TEST_CASE(trial_coldInstance_notSentThere)
{
    run(evidence_received{{{3}, instance_report_kind::Failed}});
    now += seconds(9);
    run(hub_loads_received{});
    tellCold(3);
    BOOST_TEST(target() == 4U);
    tellCold(3, {});
    BOOST_TEST(target() == 3U); // Otherwise the case would be blind to trials.
}

BOOST_AUTO_TEST_CASE(sender_onlyColdInstances_spacedRequests)
{
    showFleet(1, "gdl-a");
    tellCold(3, seconds(10));
    tellCold(4, seconds(10));
    std::size_t sent = 0;
    for (int count = 0; count < 30; ++count) {
        now += milliseconds(100);
        run(hub_loads_received{});
        sent += target() != 0 ? 1 : 0;
    }
    BOOST_TEST(sent >= 30U); // One VM alone has the whole limit of both instances.
    showFleet(124, "occ-a");
    std::size_t sentByOneOfMany = 0;
    for (int count = 0; count < 30; ++count) {
        now += milliseconds(100);
        run(hub_loads_received{});
        sentByOneOfMany += target() != 0 ? 1 : 0;
    }
    BOOST_TEST(sentByOneOfMany <= 6U);
}

// All VMs return to the instances at once, which have had no requests meanwhile.
BOOST_AUTO_TEST_CASE(evacuation_revoked_instancesCold)
{
    applyOrder(draft->evacuations, {"gdl-a", evacuation_action::Start, 1'000});
    applyDraft();
    BOOST_TEST(!isCold(state.selection.warmups, {3}, now));
    applyOrder(draft->evacuations, {"gdl-a", evacuation_action::End, 9'000});
    applyDraft();
    BOOST_TEST(isCold(state.selection.warmups, {3}, now));
    BOOST_TEST(!isCold(state.selection.warmups, {3}, now + seconds(3)));
    BOOST_TEST(!isCold(state.selection.warmups, {1}, now)); // Its service has no limit.
}

BOOST_AUTO_TEST_CASE(service_withoutLimit_servedAsBefore)
{
    draft->warmups.clear();
    applyDraft();
    tellCold(3);
    tellCold(4);
    BOOST_TEST(target() != 0U);
}

// The other VMs must hear of an instance that becomes cold again, although its announcement isn't published for it.
BOOST_AUTO_TEST_CASE(announcement_coldAgain_toldToAllVms)
{
    announcement again = findInstance(state.upstreams, {3})->last;
    ++again.sequence;
    again.warmupLeft = seconds(3);
    run(instance_announced{again});
    const auto *told = find<send_warmups>();
    BOOST_REQUIRE(told);
    BOOST_TEST(!told->to);
    BOOST_TEST((told->notices == std::vector<warmup_notice>{{{3}, seconds(3)}}));
    BOOST_TEST(!find<publish_instance>());
    run(known_instances_requested{{9}, 0});
    told = find<send_warmups>();
    BOOST_REQUIRE(told);
    BOOST_TEST((told->to == vm_id{9}));
}

BOOST_AUTO_TEST_CASE(warmups_shownToOperators_countsOfTheService)
{
    tellCold(3);
    target();
    now += seconds(1);
    run(time_passed{});
    const auto *shown = find<report_warmups>();
    BOOST_REQUIRE(shown);
    BOOST_TEST(shown->service == "flagsja");
    BOOST_TEST((shown->counts == warmup_counts{.cold = 1, .sent = 0, .heldBack = 1}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
