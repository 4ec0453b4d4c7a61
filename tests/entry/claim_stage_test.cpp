#include "entry/entry_fixture.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// An entry VM that is the only VM that stores claims.
struct claim_stage_fixture : entry_fixture {
    claim_stage_fixture()
    {
        run(claims_view_changed{
            {.epoch = {1}, .members = {{.id = {1}, .life = 0, .dataCentre = "gdl-a"}}, .previous = {}}});
    }

    /// Sends a booking with an idempotency key and a digest, and returns its id.
    exchange_id book(std::string_view idempotencyKey, std::uint64_t digest)
    {
        const exchange_id id{++lastExchange};
        run(request_arrived{{.id = id,
                             .method = "POST",
                             .host = "any.example",
                             .path = "/bookings",
                             .key = hashOf(7),
                             .idempotencyKey = idempotencyKey,
                             .digest = {.high = 0, .low = digest}}});
        return id;
    }

    void endAttempt(exchange_id id, attempt_outcome outcome, bool mayHaveBeenSent)
    {
        run(attempt_ended{id, {.outcome = outcome, .mayHaveBeenSent = mayHaveBeenSent, .status = 201}, {std::byte{5}}});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claim_stage_test, claim_stage_fixture)

BOOST_AUTO_TEST_CASE(request_resentAfterAnswer_firstAnswerReplayed)
{
    const exchange_id first = book("k", 1);
    BOOST_REQUIRE(find<start_attempt>());
    endAttempt(first, attempt_outcome::Answered, true);
    BOOST_TEST(find<deliver_answer>());
    book("k", 1);
    BOOST_TEST(!find<start_attempt>());
    BOOST_REQUIRE(find<replay_answer>());
    BOOST_TEST((find<replay_answer>()->answer == std::vector{std::byte{5}}));
}

BOOST_AUTO_TEST_CASE(request_resentWhileRunning_inProgressAndUnknown)
{
    book("k", 1);
    book("k", 1);
    BOOST_TEST(refused(result_code::DuplicateInProgress, execution::Unknown));
}

BOOST_AUTO_TEST_CASE(request_sameKeyOtherDigest_conflictNotRun)
{
    book("k", 1);
    book("k", 2);
    BOOST_TEST(refused(result_code::IdempotencyKeyReused, execution::NotRun));
}

BOOST_AUTO_TEST_CASE(request_resentAfterProvedNotRun_sentAgain)
{
    exchange_id id = book("k", 1);
    while (find<start_attempt>()) {
        endAttempt(id, attempt_outcome::ConnectFailed, false);
    }
    BOOST_TEST((find<refuse_request>()->reason.ran == execution::NotRun));
    book("k", 1);
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_CASE(request_resentAfterUnknownOutcome_neverSentAgain)
{
    const exchange_id id = book("k", 1);
    endAttempt(id, attempt_outcome::ClosedEarly, true);
    BOOST_TEST(refused(result_code::OutcomeUnknown, execution::Unknown));
    book("k", 1);
    BOOST_TEST(!find<start_attempt>());
    now += std::chrono::minutes(10);
    confirmKeys();
    book("k", 1);
    BOOST_TEST(refused(result_code::OutcomeUnknown, execution::Unknown));
}

BOOST_AUTO_TEST_CASE(request_callerLeftWhileRunning_resendGetsAnswer)
{
    const exchange_id id = book("k", 1);
    run(caller_left{id});
    endAttempt(id, attempt_outcome::Answered, true);
    book("k", 1);
    BOOST_TEST(find<replay_answer>());
}

BOOST_AUTO_TEST_CASE(request_homesSilent_refusedNotRunAtDeadline)
{
    run(claims_view_changed{{.epoch = {2},
                             .members = {{{1}, 0, "a"}, {{8}, 0, "b"}, {{9}, 0, "c"}},
                             .previous = {{.id = {1}, .life = 0, .dataCentre = "a"}}}});
    book("k", 1);
    BOOST_TEST(!find<start_attempt>());
    BOOST_TEST(find<send_claim_message>());
    now += std::chrono::seconds(10);
    run(time_passed{});
    BOOST_TEST(refused(result_code::ClaimUndecided, execution::NotRun));
    BOOST_TEST(state.exchanges.empty());
}

BOOST_AUTO_TEST_CASE(request_noIdempotencyKey_sentWithoutClaim)
{
    run(claims_view_changed{{.epoch = {2}, .members = {{{8}, 0, "b"}}, .previous = {{{1}, 0, "a"}}}});
    book("", 1);
    BOOST_TEST(find<start_attempt>());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
