#include <guavafront/coordination/admission/urgency_queue.h>

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// A queue by urgency with requests of 100 ms of work, a target of 1 s and a deadline of 3 s.
struct urgency_queue_fixture {
    urgency_queue queue;
    instant now{1'000s};
    std::uint64_t lastId = 0;

    urgent_request draft(std::uint32_t rank, std::uint32_t owner = 1)
    {
        return {.id = {++lastId},
                .account = {owner},
                .route = {rank + 1},
                .rank = rank,
                .targetEnd = now + 1s,
                .deadline = now + 3s,
                .work = 100ms};
    }

    exchange_id add(const urgent_request &request)
    {
        BOOST_TEST(enqueue(queue, request, now).empty());
        return request.id;
    }

    void requireNext(exchange_id expected)
    {
        const auto next = takeMostUrgent(queue, now);
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(next->id.value == expected.value);
        finishUrgent(queue, next->account, 100ms, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(urgency_queue_test, urgency_queue_fixture)

/// Guards against service in order of arrival, whatever a request is worth.
BOOST_AUTO_TEST_CASE(next_lowerRankArrivedFirst_higherRankTaken)
{
    const exchange_id patient = add(draft(2'000));
    const exchange_id urgent = add(draft(1));
    const exchange_id mostUrgent = add(draft(0));
    requireNext(mostUrgent);
    requireNext(urgent);
    requireNext(patient);
    BOOST_TEST(!takeMostUrgent(queue, now).has_value());
}

/// Guards against work for requests that miss their target anyway while others still can meet theirs.
BOOST_AUTO_TEST_CASE(next_equalRank_leastSlackBeforeLateOnes)
{
    urgent_request late = draft(0);
    late.targetEnd = now + 50ms;
    urgent_request lateAndUrgent = late;
    lateAndUrgent.id = {++lastId};
    lateAndUrgent.deadline = now + 500ms;
    urgent_request roomy = draft(0);
    urgent_request tight = draft(0);
    tight.work = 900ms;
    for (const urgent_request &each : {late, roomy, tight, lateAndUrgent}) {
        add(each);
    }
    requireNext(tight.id);
    requireNext(roomy.id);
    requireNext(lateAndUrgent.id);
    requireNext(late.id);
}

/// Guards against an account that sends many times its rate and so takes the turns of the others.
BOOST_AUTO_TEST_CASE(next_accountServedFarMore_otherAccountFirst)
{
    for (int index = 0; index < 20; ++index) {
        const exchange_id flood = add(draft(0, 1));
        requireNext(flood);
    }
    const exchange_id flood = add(draft(0, 1));
    const exchange_id other = add(draft(0, 2));
    requireNext(other);
    requireNext(flood);
}

/// Guards against starvation by rank: what is served of each kind is at least a quarter of what is served of all.
BOOST_AUTO_TEST_CASE(next_capacityForHalf_lowestRankGetsAQuarterOfTheShare)
{
    std::map<std::uint32_t, int> served;
    constexpr int rounds = 400;
    constexpr int expected = rounds / 8;
    for (int round = 0; round < rounds; ++round) {
        for (const std::uint32_t rank : {0U, 1U}) {
            urgent_request request = draft(rank, rank + 1);
            request.deadline = now + 1s;
            add(request);
        }
        const auto next = takeMostUrgent(queue, now);
        ++served[next->rank];
        finishUrgent(queue, next->account, 100ms, now);
        takeUnservable(queue, {.workPerSecond = 1, .untilNext = 0ms}, now);
        now += 100ms;
    }
    BOOST_TEST(served[1] >= expected);
    BOOST_TEST(served[0] > 2 * served[1]);
}

/// Guards against refusals after almost the whole time: what can't be answered in time is refused at once.
BOOST_AUTO_TEST_CASE(unservable_moreWorkThanTime_onlyTheLastRefused)
{
    for (int index = 0; index < 40; ++index) {
        add(draft(0));
    }
    // One slot: thirty requests of 100 ms end within the 3 s, the last of them exactly then.
    const auto refused = takeUnservable(queue, {.workPerSecond = 1, .untilNext = 0ms}, now);
    BOOST_TEST(refused.size() >= 10U);
    for (const urgent_refusal &each : refused) {
        BOOST_TEST((now + each.predictedWait + each.request.work > each.request.deadline));
    }
    BOOST_TEST(queue.waiting.size() + refused.size() == 40U);
}

/// Guards against the refusal of requests that fit.
BOOST_AUTO_TEST_CASE(unservable_workFits_noneRefused)
{
    for (int index = 0; index < 9; ++index) {
        add(draft(0));
    }
    BOOST_TEST(takeUnservable(queue, {.workPerSecond = 1, .untilNext = 0ms}, now).empty());
    BOOST_TEST(queue.waiting.size() == 9U);
}

/// Guards against a queue without bound, and against shedding what is urgent.
BOOST_AUTO_TEST_CASE(enqueue_accountFull_leastUrgentShed)
{
    queue.settings.maxWaitingPerAccount = 2;
    const exchange_id patient = add(draft(5));
    add(draft(0));
    const std::vector<urgent_request> shed = enqueue(queue, draft(1), now);
    BOOST_REQUIRE(shed.size() == 1U);
    BOOST_TEST(shed.front().id.value == patient.value);
    BOOST_TEST(queue.waiting.size() == 2U);
}

BOOST_AUTO_TEST_CASE(cancel_waiting_removedOnce)
{
    const exchange_id id = add(draft(0));
    BOOST_TEST(cancelUrgent(queue, id));
    BOOST_TEST(!cancelUrgent(queue, id));
    BOOST_TEST(!takeMostUrgent(queue, now).has_value());
}

/// Guards against memory that grows with every account and route ever seen.
BOOST_AUTO_TEST_CASE(removeIdle_longAfterTheLastRequest_nothingKept)
{
    requireNext(add(draft(3)));
    now += 60s;
    removeIdle(queue, now);
    BOOST_TEST(queue.accounts.empty());
    BOOST_TEST(queue.demandByRank.empty());
    BOOST_TEST(queue.guard.routes.empty());
    BOOST_TEST(queue.guard.accounts.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
