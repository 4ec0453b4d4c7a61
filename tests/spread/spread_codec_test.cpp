#include "wire/spread_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// One message of each kind.
struct spread_codec_fixture {
    spread_entry entry{.key = {.topic = spread_topic::Health, .owner = {77}, .name = "rutas/1"},
                       .version = 300,
                       .removed = false,
                       .payload = std::vector<std::byte>(30, std::byte{1})};
    spread_entry withdrawn{.key = {.owner = {78}, .name = ""}, .version = 1, .removed = true, .payload = {}};
    std::vector<spread_message> messages{spread_delta{{entry, withdrawn}}, spread_digest{{1, 2, 3}},
                                         spread_summary{{.buckets = {4}, .hashes = {5, 6}}}, spread_entry_request{{7}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(spread_codec_test, spread_codec_fixture)

BOOST_AUTO_TEST_CASE(decodeSpread_eachKind_sameMessage)
{
    for (const spread_message &each : messages) {
        BOOST_TEST((decodeSpread(encodeSpread(each)) == each));
    }
}

BOOST_AUTO_TEST_CASE(decodeSpread_anyByteChangedOrCut_messageOrNumberedError)
{
    for (const spread_message &each : messages) {
        const byte_buffer whole = encodeSpread(each);
        for (std::size_t i = 0; i < whole.size(); ++i) {
            BOOST_CHECK_THROW(decodeSpread(std::span(whole).first(i)), coordination_error);
            for (const unsigned value : {0x00U, 0x1bU, 0x5bU, 0x80U, 0x9fU, 0xa1U, 0xf6U, 0xffU}) {
                byte_buffer changed = whole;
                changed[i] = static_cast<std::byte>(value);
                try {
                    decodeSpread(changed);
                } catch (const coordination_error &error) {
                    BOOST_TEST((error.code() == result_code::MessageMalformed));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(encodedBytes_anyEntry_notBelowTheEncoding)
{
    const std::size_t bytes = encodeSpread(spread_delta{{entry}}).size();
    BOOST_TEST(bytes > entry.payload.size());
    BOOST_TEST(bytes < entry.payload.size() + entry.key.name.size() + 40);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
