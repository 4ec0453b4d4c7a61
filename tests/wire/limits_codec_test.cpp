#include "wire/limits_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <random>

namespace guavafront
{

namespace
{

/// One message of each type, with amounts that are exact in thousandths of a token.
struct limits_codec_fixture {
    std::vector<limit_message> messages{
        share_request{.round = 7, .slots = {0, 3}}, share_delegation{.round = 7, .slots = {3}},
        lease_request{.sequence = 900,
                      .items = {{{35'000}, 899, 12.5, 4.25, 1.5, 0.75, 10.125, 3}, {.account = {1}, .demand = 0.5}}},
        lease_grant{.sequence = 900, .items = {{{35'000}, 12.5, 4.25, 2.5, duration(100'000), duration(1'500)}}},
        share_release{.round = 9'876'543'210'123, .slots = {{3, std::chrono::milliseconds(40)}, {5, duration(0)}}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(limits_codec_test, limits_codec_fixture)

BOOST_AUTO_TEST_CASE(message_encodedAndDecoded_equal)
{
    for (const limit_message &message : messages) {
        BOOST_TEST((decodeLimitMessage(encodeLimitMessage(message)) == message));
    }
}

BOOST_AUTO_TEST_CASE(amounts_notWholeThousandths_roundedToTheSafeSide)
{
    const lease_request asked{
        .items = {{.heldRate = 1.0001, .heldCapacity = 1.0001, .level = 1.0009, .returnedTokens = 1.0009}}};
    const auto held = std::get<lease_request>(decodeLimitMessage(encodeLimitMessage(asked))).items.front();
    BOOST_TEST(held.heldRate >= 1.0001);
    BOOST_TEST(held.heldCapacity >= 1.0001);
    BOOST_TEST(held.returnedTokens <= 1.0009);
    const lease_grant given{.items = {{.rate = 1.0009, .capacity = 1.0009, .tokens = 1.0009}}};
    const auto granted = std::get<lease_grant>(decodeLimitMessage(encodeLimitMessage(given))).items.front();
    BOOST_TEST(granted.rate <= 1.0009);
    BOOST_TEST(granted.capacity <= 1.0009);
    BOOST_TEST(granted.tokens <= 1.0009);
}

BOOST_AUTO_TEST_CASE(lifetime_notWholeMilliseconds_roundedDown)
{
    const lease_grant given{.items = {{.account = {1}, .lifetime = duration(100'999)}}};
    const auto granted = std::get<lease_grant>(decodeLimitMessage(encodeLimitMessage(given))).items.front();
    BOOST_TEST((granted.lifetime == std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(message_mutatedBytes_decodedOrRefusedWithACode)
{
    std::mt19937_64 random(5);
    std::size_t refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        byte_buffer bytes = encodeLimitMessage(messages[random() % messages.size()]);
        for (std::size_t change = 0; change <= random() % 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<std::byte>(random() % 256);
        }
        bytes.resize(random() % 4 == 0 ? random() % (bytes.size() + 1) : bytes.size());
        try {
            decodeLimitMessage(bytes);
        } catch (const coordination_error &error) {
            ++refused;
            BOOST_TEST_REQUIRE((error.code() == result_code::MessageMalformed), "round " << round);
        }
    }
    BOOST_TEST(refused > 5'000U);
}

BOOST_AUTO_TEST_CASE(message_tooLarge_refused)
{
    const byte_buffer bytes(maxLimitMessageBytes + 1);
    BOOST_CHECK_EXCEPTION(decodeLimitMessage(bytes), coordination_error,
                          [](const coordination_error &error) { return error.code() == result_code::MessageTooLarge; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
