#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

namespace guavafront
{

using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(entry_test, entry_fixture)

BOOST_AUTO_TEST_CASE(request_keyedRouteAndKey_sentWithAccountName)
{
    request("GET", "/bookings/7");
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST(find<start_attempt>()->accountName == "panalera");
}

BOOST_AUTO_TEST_CASE(request_noRoute_refusedNotRun)
{
    request("GET", "/nothing");
    BOOST_TEST(refused(result_code::NoRoute, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(request_keyMissingOrUnknown_refusedNotRun)
{
    request("GET", "/bookings", std::nullopt);
    BOOST_TEST(refused(result_code::KeyMissing, execution::NotRun));
    request("GET", "/bookings", hashOf(8));
    BOOST_TEST(refused(result_code::KeyUnknown, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(request_keyWithdrawn_nextRequestRefused)
{
    request("GET", "/bookings");
    BOOST_TEST(find<start_attempt>());
    draft->keys.clear();
    applyDraft();
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::KeyUnknown, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(configuration_olderRevision_neverReverts)
{
    auto older = std::make_shared<configuration>(*draft);
    draft->keys.clear();
    applyDraft();
    run(configuration_changed{older});
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::KeyUnknown, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(request_newerConfigurationAccepted_refusedUntilItIsThere)
{
    state.settings.strictConfiguration = true;
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::ConfigurationStale, execution::NotRun));
    run(freshness_changed{.confirmedAt = now, .accepted = draft->atRevision});
    request("GET", "/bookings");
    BOOST_TEST(find<start_attempt>());
    run(freshness_changed{.confirmedAt = now, .accepted = {draft->atRevision.value + 1}});
    now += 1s;
    request("GET", "/bookings");
    BOOST_TEST(find<start_attempt>());
    now += 1s;
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::ConfigurationStale, execution::NotRun));
    applyDraft();
    request("GET", "/bookings"); // Waits, as both instances' slots are taken, but isn't refused.
    BOOST_TEST(!find<refuse_request>());
}

BOOST_AUTO_TEST_CASE(request_refusedBeforeAnyTry_namesServiceAndAccount)
{
    advanceTime(1h); // The instances' leases expire, while the account has tokens.
    request("GET", "/bookings");
    BOOST_REQUIRE(find<refuse_request>());
    BOOST_TEST(find<refuse_request>()->service == "reservas");
    BOOST_TEST(!find<refuse_request>()->accountName.empty());
}

BOOST_AUTO_TEST_CASE(request_openRouteWithoutKey_sent)
{
    request("GET", "/flags/tjornin", std::nullopt);
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST(find<start_attempt>()->accountName.empty());
}

BOOST_AUTO_TEST_CASE(attempt_answered_delivered)
{
    const exchange_id id = request("POST", "/bookings");
    run(attempt_ended{id, {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 201}});
    BOOST_TEST(find<deliver_answer>());
    BOOST_TEST(state.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(attempt_connectFailed_nonRepeatableTriedElsewhere)
{
    const exchange_id id = request("POST", "/bookings");
    const instance_id first = find<start_attempt>()->instance;
    run(attempt_ended{id, {.outcome = attempt_outcome::ConnectFailed}});
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST((find<start_attempt>()->instance != first));
    run(attempt_ended{id, {.outcome = attempt_outcome::ConnectFailed}});
    BOOST_TEST(find<refuse_request>());
    BOOST_TEST((find<refuse_request>()->reason.ran == execution::NotRun));
}

BOOST_AUTO_TEST_CASE(attempt_closedAfterBytesLeft_nonRepeatableNeverSentAgain)
{
    const exchange_id id = request("POST", "/bookings");
    run(attempt_ended{id, {.outcome = attempt_outcome::ClosedEarly, .mayHaveBeenSent = true}});
    BOOST_TEST(!find<start_attempt>());
    BOOST_TEST(refused(result_code::OutcomeUnknown, execution::Unknown));
}

BOOST_AUTO_TEST_CASE(attempt_incompleteAnswer_repeatableTriedElsewhere)
{
    const exchange_id id = request("GET", "/bookings");
    run(attempt_ended{id, {.outcome = attempt_outcome::AnswerIncomplete, .mayHaveBeenSent = true}});
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_CASE(attempt_secondConnectFailsAfterFirstWasSent_unknownNotNotRun)
{
    const exchange_id id = request("GET", "/bookings");
    run(attempt_ended{id, {.outcome = attempt_outcome::ClosedEarly, .mayHaveBeenSent = true}});
    run(attempt_ended{id, {.outcome = attempt_outcome::ConnectFailed}});
    BOOST_TEST(refused(result_code::OutcomeUnknown, execution::Unknown));
}

BOOST_AUTO_TEST_CASE(attempt_refusedNotRunByUpstream_nonRepeatableTriedElsewhere)
{
    const exchange_id id = request("POST", "/bookings");
    run(attempt_ended{id, {.outcome = attempt_outcome::RefusedNotRun, .mayHaveBeenSent = true, .status = 503}});
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_CASE(deadline_passesWhileRunning_unknownAndLateAnswerDropped)
{
    const exchange_id id = request("POST", "/bookings");
    now += 11s;
    run(time_passed{});
    BOOST_TEST(find<cancel_attempt>());
    BOOST_TEST(refused(result_code::OutcomeUnknown, execution::Unknown));
    run(attempt_ended{id, {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 200}});
    BOOST_TEST(!find<deliver_answer>());
    for (const candidate &each : state.selection.services[0].candidates.members) {
        BOOST_TEST(each.outstanding == 0);
    }
}

BOOST_AUTO_TEST_CASE(caller_leavesDuringNonRepeatable_runsToItsEndUnanswered)
{
    const exchange_id id = request("POST", "/bookings");
    run(caller_left{id});
    BOOST_TEST(!find<cancel_attempt>());
    run(attempt_ended{id, {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 201}});
    BOOST_TEST(!find<deliver_answer>());
    BOOST_TEST(state.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(caller_leavesDuringRepeatable_cancelled)
{
    const exchange_id id = request("GET", "/bookings");
    run(caller_left{id});
    BOOST_TEST(find<cancel_attempt>());
    BOOST_TEST(state.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(instance_leaving_noNewWork)
{
    announceInstance(1, "reservas", instance_state::Leaving);
    for (int round = 0; round < 8; ++round) {
        const exchange_id id = request("GET", "/bookings");
        BOOST_REQUIRE(find<start_attempt>());
        BOOST_TEST((find<start_attempt>()->instance == instance_id{2}));
        run(attempt_ended{id, {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 200}});
    }
}

BOOST_AUTO_TEST_CASE(stop_requested_newRequestsRefusedRunningOnesFinish)
{
    const exchange_id id = request("POST", "/bookings");
    run(stop_requested{});
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::EntryStopping, execution::NotRun));
    run(attempt_ended{id, {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 201}});
    BOOST_TEST(find<deliver_answer>());
}

BOOST_AUTO_TEST_CASE(request_deniedByOlderConfiguration_refusedUntilNewerIsInForce)
{
    draft->routes.push_back({.id = {3}, .pathPrefix = "/added", .service = "reservas", .kind = "booking"});
    draft->keys.push_back({.label = "panalera-2", .hash = hashOf(8), .owner = {1}});
    run(freshness_changed{.confirmedAt = now, .accepted = {draft->atRevision.value + 1}});
    request("GET", "/added");
    BOOST_TEST(refused(result_code::ConfigurationStale, execution::NotRun));
    BOOST_TEST((find<refuse_request>()->reason.retryAfter > duration::zero()));
    request("GET", "/bookings", hashOf(8));
    BOOST_TEST(refused(result_code::ConfigurationStale, execution::NotRun));
    request("GET", "/bookings");
    BOOST_TEST(find<start_attempt>()); // What the older one allows is served meanwhile.
    applyDraft();
    request("GET", "/added", hashOf(8));
    BOOST_TEST(find<start_attempt>());
    request("GET", "/nothing");
    BOOST_TEST(refused(result_code::NoRoute, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(stop_timeUsedUp_eachRequestEndsWithTrueAnswer)
{
    for (int number = 0; number < 8; ++number) { // All slots of the service are in use.
        request("POST", "/bookings");
    }
    const exchange_id running{lastExchange};
    const exchange_id waiting = request("POST", "/bookings");
    run(intake_closed{now + std::chrono::seconds(2)});
    run(runs_ended{});
    std::map<exchange_id, refusal> ends;
    for (const entry_effect &each : effects) {
        if (const auto *refused = std::get_if<refuse_request>(&each)) {
            ends[refused->id] = refused->reason;
        }
    }
    BOOST_TEST(ends.size() == 9U);
    BOOST_TEST((ends.at(running).code == result_code::OutcomeUnknown && ends.at(running).ran == execution::Unknown));
    BOOST_TEST((ends.at(waiting).code == result_code::EntryStopping && ends.at(waiting).ran == execution::NotRun));
    BOOST_TEST(state.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(stop_tooLateForAnAttempt_waitingRequestRefusedNotRun)
{
    std::vector<exchange_id> running;
    running.reserve(8);
    for (int number = 0; number < 8; ++number) {
        running.push_back(request("POST", "/bookings"));
    }
    request("POST", "/bookings");
    run(intake_closed{now + std::chrono::milliseconds(1)}); // A usual answer takes 5 ms.
    run(attempt_ended{running[0], {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 201}});
    BOOST_TEST(find<deliver_answer>());
    BOOST_TEST(!find<start_attempt>());
    BOOST_TEST(refused(result_code::EntryStopping, execution::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
