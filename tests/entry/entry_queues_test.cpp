#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t slots = 8;

/// An entry VM with a second account, an order of request kinds for the first one, and eight slots of the service for
/// bookings.
struct entry_queues_fixture : entry_fixture {
    entry_queues_fixture()
    {
        draft->accounts.front().kindOrder = {"charge", "booking"};
        draft->accounts.push_back({.id = {2}, .name = "small"});
        draft->keys.push_back({.label = "small-1", .hash = hashOf(9), .owner = {2}});
        draft->routes.push_back({.id = {3}, .pathPrefix = "/charges", .service = "reservas", .kind = "charge"});
        applyDraft();
    }

    /// Applies new default rate limits, which hold for all accounts.
    void limitAll(double rate, double burst)
    {
        draft->defaults.accountRatePerSecond = rate;
        draft->defaults.accountBurst = burst;
        applyDraft();
    }

    /// Ends a running request with an answer; effects are then those of that step.
    void answer(exchange_id id)
    {
        run(attempt_ended{id, {.outcome = attempt_outcome::Answered, .mayHaveBeenSent = true, .status = 200}});
    }

    /// Ids of the requests that have an attempt in progress.
    std::vector<exchange_id> running() const
    {
        std::vector<exchange_id> ids;
        for (const auto &[id, request] : state.exchanges) {
            if (request.stage == exchange_stage::Running) {
                ids.push_back(id);
            }
        }
        return ids;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(entry_queues_test, entry_queues_fixture)

BOOST_AUTO_TEST_CASE(request_overRate_refusedNotRunWithRetryAfter)
{
    limitAll(2, 3);
    advanceTime(3s);
    for (int number = 0; number < 3; ++number) {
        request("GET", "/bookings");
        BOOST_TEST(find<start_attempt>());
    }
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::OverRate, execution::NotRun));
    BOOST_TEST((find<refuse_request>()->reason.retryAfter > 0ms));
    request("GET", "/bookings", hashOf(9));
    BOOST_TEST(find<start_attempt>());
    advanceTime(2s);
    request("GET", "/bookings");
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_CASE(request_ownerSilent_waitsThenRefusedNotRun)
{
    run(limit_members_changed{{{1}, {2}, {3}, {4}, {5}}});
    advanceTime(8s);
    const account_id other{2};
    const vm_id owner = state.rateLimiter->preferredOwners[slotOf(state.settings.limits, other)];
    BOOST_REQUIRE((owner != vm_id{1}));
    run(limit_message_received{owner, share_request{.round = 1, .slots = {slotOf(state.settings.limits, other)}}});
    BOOST_TEST(find<limit_send>());
    const exchange_id id = request("GET", "/bookings", hashOf(9));
    BOOST_TEST(state.exchanges.contains(id));
    BOOST_TEST(!find<refuse_request>());
    now += state.settings.limits.waitLimit;
    run(time_passed{});
    BOOST_TEST(refused(result_code::RateUndecided, execution::NotRun));
    BOOST_TEST(state.exchanges.empty());
    BOOST_TEST(state.tokenWaits.expirations.empty());
    BOOST_TEST(state.tokenWaits.retries.empty());
}

BOOST_AUTO_TEST_CASE(request_grantComesWhileWaiting_sent)
{
    run(limit_members_changed{{{1}, {2}, {3}, {4}, {5}}});
    advanceTime(8s);
    const limit_slot slot = slotOf(state.settings.limits, {2});
    const vm_id owner = state.rateLimiter->preferredOwners[slot];
    run(limit_message_received{owner, share_request{.round = 1, .slots = {slot}}});
    request("GET", "/bookings", hashOf(9));
    const auto asked = std::get<lease_request>(find<limit_send>()->message);
    const lease_grant_item item{.account = {2}, .rate = 1, .capacity = 2, .tokens = 2, .lifetime = 1s};
    run(limit_message_received{owner, lease_grant{.sequence = asked.sequence, .items = {item}}});
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_CASE(request_slotsTaken_smallAccountNextDespiteFlood)
{
    for (std::size_t number = 0; number < slots + 50; ++number) {
        request("GET", "/bookings");
    }
    BOOST_TEST(running().size() == slots);
    const exchange_id small = request("GET", "/bookings", hashOf(9));
    BOOST_TEST(!find<start_attempt>());
    answer(running().front());
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST((find<start_attempt>()->id == small));
}

BOOST_AUTO_TEST_CASE(request_kindsWait_accountsOrderHolds)
{
    for (std::size_t number = 0; number < slots + 4; ++number) {
        request("GET", "/bookings");
    }
    const exchange_id charge = request("POST", "/charges");
    answer(running().front());
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST((find<start_attempt>()->id == charge));
}

BOOST_AUTO_TEST_CASE(request_deadlinePassesInQueue_refusedNotRunAndNeverSent)
{
    for (std::size_t number = 0; number < slots; ++number) {
        request("GET", "/bookings");
        advanceTime(1s);
    }
    request("GET", "/bookings", hashOf(9));
    BOOST_TEST(running().size() == slots);
    BOOST_TEST(!find<start_attempt>());
    now = state.exchanges.at({lastExchange}).deadline;
    run(time_passed{});
    bool seen = false;
    for (const entry_effect &each : effects) {
        const auto *ended = std::get_if<refuse_request>(&each);
        if (ended && ended->id.value == lastExchange) {
            seen = true;
            BOOST_TEST((ended->reason.code == result_code::DeadlinePassed));
            BOOST_TEST((ended->reason.ran == execution::NotRun));
        }
    }
    BOOST_TEST(seen);
    BOOST_TEST(!find<start_attempt>());
}

BOOST_AUTO_TEST_CASE(request_queueFull_shedNotRun)
{
    state.settings.admission.maxWaitingPerAccount = 2;
    for (std::size_t number = 0; number < slots + 2; ++number) {
        request("GET", "/bookings");
        BOOST_TEST(!find<refuse_request>());
    }
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::NoCapacity, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(caller_leavesQueue_slotGoesToTheNext)
{
    for (std::size_t number = 0; number < slots; ++number) {
        request("GET", "/bookings");
    }
    const exchange_id gone = request("GET", "/bookings");
    const exchange_id next = request("GET", "/bookings");
    run(caller_left{gone});
    answer(running().front());
    BOOST_REQUIRE(find<start_attempt>());
    BOOST_TEST((find<start_attempt>()->id == next));
}

BOOST_AUTO_TEST_CASE(service_shedsLoad_fewerSlotsUsed)
{
    for (std::size_t number = 0; number < slots + 4; ++number) {
        request("POST", "/bookings");
    }
    const exchange_id shed = running().front();
    for (int attempt = 0; attempt < 2; ++attempt) {
        run(attempt_ended{shed, {.outcome = attempt_outcome::RefusedNotRun, .mayHaveBeenSent = true}});
    }
    BOOST_TEST(refused(result_code::UpstreamRefused, execution::NotRun) == false);
    answer(running().front());
    BOOST_TEST(running().size() < slots);
}

BOOST_AUTO_TEST_CASE(entry_full_newRequestRefusedNotRun)
{
    state.settings.bounds.requests = slots;
    for (std::size_t number = 0; number < slots; ++number) {
        request("GET", "/bookings");
    }
    request("GET", "/bookings");
    BOOST_TEST(refused(result_code::EntryOverloaded, execution::NotRun));
    answer(running().front());
    request("GET", "/bookings");
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
