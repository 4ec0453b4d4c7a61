#include <guavafront/coordination/retries/request_repeatability.h>
#include <guavafront/coordination/retries/retry.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

/// A new retry budget, and a failed first attempt that is proved not to have run.
struct retry_fixture {
    retry_budget budget;
    retry_limits limits;
    failed_attempt attempt{.kind = outcome_kind::Shed, .ran = execution::NotRun, .repeatable = false, .timeLeft = 1s};

    bool retried()
    {
        return shouldRetry(budget, limits, attempt);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retry_test, retry_fixture)

BOOST_AUTO_TEST_CASE(isRepeatable_byMethod_idempotentMethodsOnly)
{
    BOOST_TEST(isRepeatable(repeatability::ByMethod, "GET"));
    BOOST_TEST(isRepeatable(repeatability::ByMethod, "PUT"));
    BOOST_TEST(!isRepeatable(repeatability::ByMethod, "POST"));
    BOOST_TEST(!isRepeatable(repeatability::ByMethod, "get"));
    BOOST_TEST(!isRepeatable(repeatability::ByMethod, "PATCH"));
}

BOOST_AUTO_TEST_CASE(isRepeatable_routeSetting_overridesMethod)
{
    BOOST_TEST(isRepeatable(repeatability::Repeatable, "POST"));
    BOOST_TEST(!isRepeatable(repeatability::NotRepeatable, "GET"));
}

BOOST_AUTO_TEST_CASE(shouldRetry_notRepeatable_onlyWhenNotRun)
{
    BOOST_TEST(retried());
    attempt.kind = outcome_kind::ConnectionLost;
    attempt.ran = execution::Unknown;
    BOOST_TEST(!retried());
    attempt.repeatable = true;
    attempt.kind = outcome_kind::IncompleteAnswer;
    BOOST_TEST(retried());
}

BOOST_AUTO_TEST_CASE(shouldRetry_connectionLostWhileRunning_onlyWhenItWasStale)
{
    attempt.kind = outcome_kind::ConnectionLost;
    attempt.ran = execution::Unknown;
    attempt.repeatable = true;
    BOOST_TEST(!retried());
    attempt.staleConnection = true;
    BOOST_TEST(retried());
    attempt.repeatable = false;
    BOOST_TEST(!retried());
}

BOOST_AUTO_TEST_CASE(shouldRetry_limitReachedOrQuarantined_noRetry)
{
    attempt.attemptsMade = limits.maxAttempts;
    BOOST_TEST(!retried());
    attempt.attemptsMade = 1;
    attempt.timeLeft = 1ms;
    BOOST_TEST(!retried());
    attempt.timeLeft = 1s;
    attempt.quarantined = true;
    BOOST_TEST(!retried());
}

BOOST_AUTO_TEST_CASE(shouldRetry_everythingFails_retriesBoundedByBudget)
{
    int retries = 0;
    for (int request = 0; request < 1'000; ++request) {
        addRetryTokens(budget, 10);
        retries += retried() ? 1 : 0;
    }
    BOOST_TEST(retries <= 105);
    BOOST_TEST(retries >= 100);
}

BOOST_AUTO_TEST_CASE(shouldRetry_connectFailed_costsNoToken)
{
    budget.tokens = 0;
    attempt.kind = outcome_kind::ConnectFailed;
    BOOST_TEST(retried());
}

BOOST_AUTO_TEST_CASE(refusalAfter_unknownOutcome_neverNotRun)
{
    for (const auto kind : {outcome_kind::IncompleteAnswer, outcome_kind::ConnectionLost, outcome_kind::TimedOut}) {
        attempt.kind = kind;
        attempt.ran = execution::Unknown;
        BOOST_TEST((refusalAfter(attempt).ran == execution::Unknown));
    }
    attempt.quarantined = true;
    BOOST_TEST((refusalAfter(attempt).ran == execution::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
