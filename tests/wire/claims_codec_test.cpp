#include "wire/claims_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <random>

namespace guavafront
{

namespace
{

/// One claim message of each type.
struct claims_codec_fixture {
    claim_key key = makeClaimKey({7}, "reserva-1");
    claim_attempt attempt{.claimant = {0xFFFF'FFFF'FFFF'FFF0}, .number = 3};
    claim_outcome outcome{.digest = {.high = 1, .low = 2}, .answerKept = true, .answer = {std::byte{0}, std::byte{9}}};
    holder_report holder{.attempt = attempt, .digest = {.high = 4, .low = 5}, .remaining = duration(1500)};
    std::vector<claim_message> messages{
        claim_request{{9}, attempt, key, {1, 2}, duration(2'000'000)},
        claim_reply{attempt, key, claim_vote::Taken, {9}, {holder, holder}, outcome},
        claim_reply{attempt, key, claim_vote::Granted, {9}, {}, {}},
        claim_release{attempt, key},
        claim_outcome_notice{attempt, key, outcome},
        claim_acknowledged{attempt},
        shard_pull{{9}, shardOf(key), 77, key},
        shard_page{{9}, shardOf(key), {}, true, false, {{key, std::chrono::hours(24), {holder}, outcome}}},
    };
};

/// Whether decoding throws coordination_error. Any other exception fails the test.
bool refused(std::span<const std::byte> bytes)
{
    try {
        decodeClaimMessage(bytes);
    } catch (const coordination_error &) {
        return true;
    }
    return false;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(claims_codec_test, claims_codec_fixture)

BOOST_AUTO_TEST_CASE(decode_eachKind_equal)
{
    for (const claim_message &message : messages) {
        BOOST_TEST((decodeClaimMessage(encodeClaimMessage(message)) == message));
    }
}

BOOST_AUTO_TEST_CASE(decode_cutShort_refused)
{
    for (const claim_message &message : messages) {
        const std::vector<std::byte> encoded = encodeClaimMessage(message);
        for (std::size_t length = 0; length < encoded.size(); ++length) {
            BOOST_TEST(refused(std::span(encoded).first(length)));
        }
    }
}

BOOST_AUTO_TEST_CASE(decode_bytesChanged_refusedOrDecoded)
{
    std::mt19937_64 random(7);
    for (int trial = 0; trial < 20'000; ++trial) {
        std::vector<std::byte> encoded = encodeClaimMessage(messages[random() % messages.size()]);
        encoded[random() % encoded.size()] = static_cast<std::byte>(random() % 256);
        refused(encoded); // Another exception than coordination_error fails the test.
    }
}

BOOST_AUTO_TEST_CASE(decode_view_equalAndOrdered)
{
    claims_view view{.epoch = {3}, .members = {{{1}, 5, "a"}, {{2}, 6, "b"}}, .previous = {{{1}, 4, "a"}}};
    BOOST_TEST((decodeClaimsView(encodeClaimsView(view)) == view));
    std::swap(view.members[0], view.members[1]);
    BOOST_CHECK_THROW(decodeClaimsView(encodeClaimsView(view)), coordination_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
