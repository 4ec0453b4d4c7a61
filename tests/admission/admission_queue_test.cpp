#include <guavafront/coordination/admission/admission_queue.h>

#include <boost/test/unit_test.hpp>

#include <map>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr account_id largeAccount{1};
constexpr account_id smallAccount{2};

/// One queue with a clock that only tests advance. Requests are numbered from 1 in the order in which they are
/// enqueued.
struct admission_queue_fixture {
    admission_queue queue;
    admission_effects effects;
    instant now{1h};
    std::uint64_t lastId = 0;

    /// Enqueues requests of one account and one kind.
    void enqueueRequests(account_id account, std::uint32_t rank, int count, duration deadline = 10s, double weight = 1)
    {
        for (int number = 0; number < count; ++number) {
            enqueue(queue, {{++lastId}, account, rank, now + deadline, weight}, now, effects);
        }
    }

    /// Admits up to `count` requests, each with a service time of 20 ms, and returns how many each account got.
    std::map<account_id, int> serve(int count)
    {
        std::map<account_id, int> served;
        for (int number = 0; number < count; ++number) {
            if (const auto next = admitNext(queue, now, effects)) {
                ++served[next->account];
                finishService(queue, next->account, 20ms, now);
            }
        }
        return served;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_queue_test, admission_queue_fixture)

BOOST_AUTO_TEST_CASE(admitNext_floodBeforeSmallAccount_sharesAreEqual)
{
    for (const auto policy : {admission_policy::DeficitRoundRobin, admission_policy::LeastAttainedService}) {
        queue = {.settings = {.policy = policy}};
        enqueueRequests(largeAccount, 0, 100);
        enqueueRequests(smallAccount, 0, 10);
        auto served = serve(20);
        BOOST_TEST(served[smallAccount] >= 9);
    }
}

BOOST_AUTO_TEST_CASE(admitNext_weightedAccounts_sharesByWeight)
{
    for (const auto policy : {admission_policy::DeficitRoundRobin, admission_policy::LeastAttainedService}) {
        queue = {.settings = {.policy = policy}};
        enqueueRequests(largeAccount, 0, 100, 10s, 3);
        enqueueRequests(smallAccount, 0, 100, 10s, 1);
        auto served = serve(40);
        BOOST_TEST(std::abs(served[largeAccount] - 30) <= 2);
    }
}

BOOST_AUTO_TEST_CASE(admitNext_firstCome_arrivalOrder)
{
    queue.settings.policy = admission_policy::FirstCome;
    enqueueRequests(largeAccount, 1, 3);
    enqueueRequests(smallAccount, 0, 1);
    BOOST_TEST(serve(3)[largeAccount] == 3);
    BOOST_TEST(serve(1)[smallAccount] == 1);
}

BOOST_AUTO_TEST_CASE(admitNext_requestsOfDifferentLength_serviceTimeIsEqual)
{
    for (const auto policy : {admission_policy::DeficitRoundRobin, admission_policy::LeastAttainedService}) {
        queue = {.settings = {.policy = policy}};
        enqueueRequests(largeAccount, 0, 100);
        enqueueRequests(smallAccount, 0, 100);
        std::map<account_id, int> served;
        for (int number = 0; number < 120; ++number) {
            const auto next = admitNext(queue, now, effects);
            finishService(queue, next->account, next->account == largeAccount ? 80ms : 20ms, now);
            ++served[next->account];
            now += 1ms;
        }
        BOOST_TEST(served[smallAccount] > 3 * served[largeAccount]);
        BOOST_TEST(served[largeAccount] > 10);
    }
}

BOOST_AUTO_TEST_CASE(admitNext_kindsOfAnAccount_orderHeldAndLastNotStarved)
{
    enqueueRequests(smallAccount, 2, 5);
    enqueueRequests(smallAccount, 0, 40);
    std::vector<std::uint32_t> ranks;
    ranks.reserve(27);
    for (int number = 0; number < 27; ++number) {
        ranks.push_back(admitNext(queue, now, effects)->kindRank);
    }
    BOOST_TEST(std::count(ranks.begin(), ranks.begin() + 8, 0U) == 8);
    BOOST_TEST(ranks[8] == 2U);
    BOOST_TEST(std::ranges::count(ranks, 2U) == 3);
}

BOOST_AUTO_TEST_CASE(admitNext_deadlinePassed_expiredAndNotAdmitted)
{
    enqueueRequests(smallAccount, 0, 2, 1s);
    now += 1s;
    BOOST_TEST(!admitNext(queue, now, effects));
    BOOST_TEST(effects.expired.size() == 2U);
    BOOST_TEST(queue.waitingCount == 0U);
}

BOOST_AUTO_TEST_CASE(enqueue_accountFull_leastImportantNewestShed)
{
    queue.settings.maxWaitingPerAccount = 3;
    enqueueRequests(smallAccount, 1, 3);
    enqueueRequests(smallAccount, 0, 1);
    BOOST_TEST_REQUIRE(effects.shed.size() == 1U);
    BOOST_TEST(effects.shed.front().value == 3U);
}

BOOST_AUTO_TEST_CASE(enqueue_queueFull_longestAccountQueueSheds)
{
    queue.settings.maxWaiting = 20;
    enqueueRequests(largeAccount, 0, 20);
    enqueueRequests(smallAccount, 0, 5);
    BOOST_TEST(effects.shed.size() == 5U);
    BOOST_TEST(queue.accounts.at(smallAccount).waitingCount == 5U);
}

BOOST_AUTO_TEST_CASE(cancelWaiting_callerGone_requestNotAdmitted)
{
    enqueueRequests(smallAccount, 0, 2);
    BOOST_TEST(cancelWaiting(queue, smallAccount, {1}));
    BOOST_TEST(!cancelWaiting(queue, smallAccount, {1}));
    BOOST_TEST(admitNext(queue, now, effects)->id.value == 2U);
}

BOOST_AUTO_TEST_CASE(dropExpired_accountLongIdle_accountRemoved)
{
    enqueueRequests(smallAccount, 0, 1);
    serve(1);
    now += 60s;
    dropExpired(queue, now, effects);
    BOOST_TEST(queue.accounts.empty());
}

BOOST_AUTO_TEST_CASE(rankOfKind_unnamedKind_last)
{
    const std::vector<std::string> order{"cobros", "reservas"};
    BOOST_TEST(rankOfKind(order, "reservas") == 1U);
    BOOST_TEST(rankOfKind(order, "rutas") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
