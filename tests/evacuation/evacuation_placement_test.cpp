#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// An entry VM before instances in two data centres: 11 and 12 in occ-a and 13 and 14 in occ-b serve bookings, 21 and
/// 22 in occ-a alone serve flags.
struct evacuation_placement_fixture : entry_fixture {
    std::uint64_t orderedMs = 1'000; ///< Time of the last order.

    evacuation_placement_fixture()
    {
        for (std::uint64_t id = 1; id <= 4; ++id) {
            run(instance_left{.name = std::to_string(id)});
        }
        use(balancing_policy::Affinity);
    }

    void use(balancing_policy policy)
    {
        state = makeEntry({.self = {1}, .dataCentre = "occ-a"}, {.limits = {.fleetSize = 1}, .balancing = policy});
        run(configuration_changed{std::make_shared<const configuration>(*draft)});
        for (const std::uint64_t id : {11U, 12U, 13U, 14U}) {
            announceAt(id, "reservas", id <= 12 ? "occ-a" : "occ-b");
        }
        announceAt(21, "flagsja", "occ-a");
        announceAt(22, "flagsja", "occ-a");
        advanceTime(8s);
    }

    void announceAt(std::uint64_t id, const std::string &service, const std::string &dataCentre)
    {
        run(instance_announced{{.instance = {id},
                                .name = std::to_string(id),
                                .sequence = ++lastSequence,
                                .service = service,
                                .ip = "127.0.0.1",
                                .port = static_cast<std::uint16_t>(9000 + id),
                                .dataCentre = dataCentre,
                                .slots = 4,
                                .lease = std::chrono::hours(1)}});
    }

    void order(const std::string &dataCentre, evacuation_action action)
    {
        orderedMs += 10'000;
        applyOrder(draft->evacuations, {dataCentre, action, orderedMs});
        applyDraft();
    }

    void evacuate(const std::string &dataCentre)
    {
        order(dataCentre, evacuation_action::Start);
    }

    void revoke(const std::string &dataCentre)
    {
        order(dataCentre, evacuation_action::End);
    }

    /// Instance of the attempt that the last step started; 0 for none.
    std::uint64_t started() const
    {
        const auto *attempt = find<start_attempt>();
        return attempt ? attempt->instance.value : 0;
    }

    void end(exchange_id id, attempt_outcome outcome, std::uint16_t status = 200)
    {
        run(attempt_ended{id,
                          {.outcome = outcome,
                           .mayHaveBeenSent = outcome != attempt_outcome::ConnectFailed,
                           .status = status,
                           .latency = 5ms},
                          {}});
    }

    /// Instances that requests reach, one after the other.
    std::set<std::uint64_t> reached(int count, std::string_view path = "/bookings/x")
    {
        std::set<std::uint64_t> instances;
        for (int number = 0; number < count; ++number) {
            const exchange_id id = request("GET", path);
            instances.insert(started());
            if (started() != 0) {
                end(id, attempt_outcome::Answered);
            }
            advanceTime(10ms);
        }
        return instances;
    }
};

const std::vector<balancing_policy> policies{balancing_policy::ExpectedLatency, balancing_policy::Affinity};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_placement_test, evacuation_placement_fixture)

BOOST_AUTO_TEST_CASE(evacuation_otherInstances_allRequestsThere)
{
    for (const balancing_policy policy : policies) {
        use(policy);
        evacuate("occ-a");
        const std::set<std::uint64_t> others = reached(60);
        BOOST_TEST((others == std::set<std::uint64_t>{13, 14} || others == std::set<std::uint64_t>{13}
                    || others == std::set<std::uint64_t>{14}));
        draft->evacuations.clear();
    }
}

// Guards against the last resort of a service without other instances.
BOOST_AUTO_TEST_CASE(evacuation_noOtherInstance_refusedAtOnceAsNotRunWithSpreadReturn)
{
    evacuate("occ-a");
    std::set<duration> returns;
    for (int number = 0; number < 20; ++number) {
        request("GET", "/flags", std::nullopt);
        BOOST_TEST(started() == 0U);
        BOOST_REQUIRE(refused(result_code::NoUpstream, execution::NotRun));
        const duration retryAfter = find<refuse_request>()->reason.retryAfter;
        BOOST_TEST(retryAfter >= 1s);
        BOOST_TEST(retryAfter <= 2s);
        returns.insert(retryAfter);
    }
    BOOST_TEST(returns.size() > 10U);
    BOOST_TEST(!find<count_evacuated_request>()->placed);
}

// Guards against slots of evacuated instances that count as capacity: requests would be taken out of the queue for
// them.
BOOST_AUTO_TEST_CASE(queue_whileEvacuated_onlySlotsOfOthers)
{
    use(balancing_policy::ExpectedLatency);
    evacuate("occ-a");
    std::set<std::uint64_t> instances;
    std::size_t running = 0;
    for (int number = 0; number < 20; ++number) {
        request("GET", "/bookings/x");
        instances.insert(started());
        running += started() != 0 ? 1 : 0;
    }
    BOOST_TEST(running == 8U);
    BOOST_TEST(!instances.contains(11));
    BOOST_TEST(!instances.contains(12));
}

// Guards against requests that were admitted or waited before the order, and get their turn after it.
BOOST_AUTO_TEST_CASE(queue_filledBeforeTheOrder_restGoesElsewhereOrIsRefused)
{
    use(balancing_policy::ExpectedLatency);
    std::vector<exchange_id> running;
    for (int number = 0; number < 12; ++number) {
        const exchange_id id = request("GET", "/flags", std::nullopt);
        if (started() != 0) {
            running.push_back(id);
        }
    }
    BOOST_TEST(running.size() == 8U);
    evacuate("occ-a");
    std::size_t refusedCount = 0;
    for (const entry_effect &each : effects) {
        const auto *refusal = std::get_if<refuse_request>(&each);
        refusedCount += refusal && refusal->reason.code == result_code::NoUpstream ? 1 : 0;
        BOOST_TEST(!std::holds_alternative<start_attempt>(each));
        BOOST_TEST(!std::holds_alternative<cancel_attempt>(each)); // What runs there isn't cancelled.
    }
    BOOST_TEST(refusedCount == 4U);
    end(running.front(), attempt_outcome::Answered);
    BOOST_TEST(find<deliver_answer>());
}

BOOST_AUTO_TEST_CASE(retry_afterTheOrder_notInTheDataCentre)
{
    for (const balancing_policy policy : policies) {
        use(policy);
        exchange_id id = request("GET", "/bookings/x");
        while (started() > 12) { // Until a request runs in the data centre that is evacuated.
            id = request("GET", "/bookings/x");
        }
        BOOST_TEST_REQUIRE(started() != 0U);
        evacuate("occ-a");
        end(id, attempt_outcome::ConnectFailed);
        BOOST_TEST(started() != 11U);
        BOOST_TEST(started() != 12U);
        draft->evacuations.clear();
    }
}

// Guards against the probe of an instance that lost a connection, and against trials of avoided instances.
BOOST_AUTO_TEST_CASE(probeAndTrial_afterTheOrder_notInTheDataCentre)
{
    use(balancing_policy::ExpectedLatency);
    scheduleProbe(state.selection, {11}, now);
    evacuate("occ-a");
    BOOST_TEST(!reached(40).contains(11));
    draft->evacuations.clear();

    use(balancing_policy::Affinity);
    for (const std::uint64_t id : {11U, 13U, 14U}) {
        run(evidence_received{{{id}, instance_report_kind::Failed}});
    }
    evacuate("occ-a");
    const std::set<std::uint64_t> instances = reached(200);
    BOOST_TEST(!instances.contains(11));
    BOOST_TEST(!instances.contains(12));
}

BOOST_AUTO_TEST_CASE(announcements_whileEvacuated_changeNothing)
{
    evacuate("occ-a");
    announceAt(11, "reservas", "occ-a");
    announceAt(15, "reservas", "occ-a");
    const std::set<std::uint64_t> instances = reached(60);
    BOOST_TEST(!instances.contains(11));
    BOOST_TEST(!instances.contains(15));
}

BOOST_AUTO_TEST_CASE(revocation_instancesServeAgainAndReopeningIsKnown)
{
    evacuate("occ-a");
    BOOST_TEST(!reopenedAt(state.selection.notices, "occ-a"));
    advanceTime(3s);
    revoke("occ-a");
    BOOST_REQUIRE(reopenedAt(state.selection.notices, "occ-a"));
    BOOST_CHECK(*reopenedAt(state.selection.notices, "occ-a") == now);
    const std::set<std::uint64_t> instances = reached(20, "/flags");
    BOOST_TEST(!instances.contains(0));
    const instant first = *reopenedAt(state.selection.notices, "occ-a");
    applyDraft(); // Another revision doesn't renew the time.
    BOOST_CHECK(*reopenedAt(state.selection.notices, "occ-a") == first);
    advanceTime(1s);
    evacuate("occ-a");
    BOOST_TEST(!reopenedAt(state.selection.notices, "occ-a"));
    revoke("occ-a");
    BOOST_CHECK(*reopenedAt(state.selection.notices, "occ-a") > first);
}

// Guards against a VM that missed an evacuation and its revocation, and takes the instances for warm.
BOOST_AUTO_TEST_CASE(revocation_missedByThisVm_reopeningIsKnown)
{
    applyOrder(draft->evacuations, {"occ-a", evacuation_action::Start, 1'000});
    applyOrder(draft->evacuations, {"occ-a", evacuation_action::End, 9'000});
    applyDraft();
    BOOST_CHECK(reopenedAt(state.selection.notices, "occ-a") == std::optional(now));
    applyOrder(draft->evacuations, {"occ-a", evacuation_action::Forget, 0});
    applyDraft();
    BOOST_TEST(!reopenedAt(state.selection.notices, "occ-a"));
}

// A data centre is evacuated while this VM is cut off from the control VMs. Until its key limit it serves by what it
// knows; keyed requests are refused from then on, and once the link is back the order is in force at once.
BOOST_AUTO_TEST_CASE(evacuation_duringPartition_keyedRequestsRefusedAndNoneSentAfterwards)
{
    controlConfirms = false;
    run(freshness_changed{.confirmedAt = now, .accepted = draft->atRevision});
    const instant cutAt = now;
    advanceTime(4'900ms);
    request("GET", "/bookings/x");
    BOOST_TEST(started() != 0U);
    now = cutAt + 5s + 1ms;
    request("GET", "/bookings/x");
    BOOST_TEST(refused(result_code::ConfigurationStale, execution::NotRun));
    applyOrder(draft->evacuations, {"occ-a", evacuation_action::Start, 1'000});
    run(freshness_changed{.confirmedAt = now, .accepted = {draft->atRevision.value + 1}});
    applyDraft();
    run(freshness_changed{.confirmedAt = now, .accepted = draft->atRevision});
    const std::set<std::uint64_t> instances = reached(30);
    BOOST_TEST(!instances.contains(11));
    BOOST_TEST(!instances.contains(12));
    BOOST_TEST(!instances.contains(0));
}

BOOST_AUTO_TEST_CASE(evacuation_reported_withWhatItConcerns)
{
    evacuate("occ-a");
    const auto *report = find<report_evacuation>();
    BOOST_REQUIRE(report);
    BOOST_TEST(report->state.inForce);
    BOOST_TEST(report->instances == 4U);
    BOOST_TEST(report->services == 1U);
    applyDraft();
    BOOST_TEST(!find<report_evacuation>());
    request("GET", "/bookings/x");
    BOOST_REQUIRE(find<count_evacuated_request>());
    BOOST_TEST(find<count_evacuated_request>()->placed);
    revoke("occ-a");
    BOOST_TEST(!find<report_evacuation>()->state.inForce);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
