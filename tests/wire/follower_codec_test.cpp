#include "golden_file.h"

#include "wire/follower_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

struct follower_codec_fixture {
    held_revision held{{7}, digestOf(0x11)};
    /// One message of each type.
    std::vector<follower_message> messages{
        offer_message{held},
        pull_message{held, {{8}, 131'072}},
        deltas_message{{{{8}, digestOf(0x11), digestOf(0x22), {create_account{"panalera"}, withdraw_key{"p-1"}}}}},
        snapshot_part{held, digestOf(0x33), 300, 2, {std::byte{1}, std::byte{2}}},
        revision_report{{8}, "entry-1"},
        report_request{},
    };

    static history_digest digestOf(unsigned value)
    {
        history_digest digest{};
        digest.fill(static_cast<std::byte>(value));
        return digest;
    }

    /// The encodings of all messages.
    std::vector<std::byte> encodeAll() const
    {
        std::vector<std::byte> all;
        for (const follower_message &each : messages) {
            std::ranges::copy(encodeFollowerMessage(each), std::back_inserter(all));
        }
        return all;
    }

    /// Code of the coordination_error that decoding the bytes throws; Ok when it throws none.
    static result_code refusalOf(std::span<const std::byte> encoded)
    {
        try {
            decodeFollowerMessage(encoded);
        } catch (const coordination_error &fault) {
            return fault.code();
        }
        return result_code::Ok;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(follower_codec_test, follower_codec_fixture)

BOOST_AUTO_TEST_CASE(encode_eachMessage_equalsGoldenFile)
{
    const std::vector<std::byte> written = encodeAll();
    BOOST_CHECK_MESSAGE(written == readGolden("wire/golden/follower_messages.hex"),
                        "wire/golden/follower_messages.hex differs from:\n"
                            << toHex(written));
}

BOOST_AUTO_TEST_CASE(decode_eachMessage_sameValue)
{
    for (const follower_message &each : messages) {
        BOOST_CHECK(decodeFollowerMessage(encodeFollowerMessage(each)) == each);
    }
}

BOOST_AUTO_TEST_CASE(decode_otherVersionOrKind_refused)
{
    byte_buffer other = encodeFollowerMessage(report_request{});
    other.at(2) = std::byte{6};
    BOOST_CHECK(refusalOf(other) == result_code::MessageMalformed);
    other.at(1) = std::byte{2};
    BOOST_CHECK(refusalOf(other) == result_code::MessageUnknown);
}

BOOST_AUTO_TEST_CASE(decode_nameTooLong_refused)
{
    const std::string longest(maxVmNameBytes, 'x');
    BOOST_CHECK(refusalOf(encodeFollowerMessage(revision_report{{1}, longest})) == result_code::Ok);
    BOOST_CHECK(refusalOf(encodeFollowerMessage(revision_report{{1}, longest + "x"})) != result_code::Ok);
}

BOOST_AUTO_TEST_CASE(decode_everyFlippedByte_numberedErrorOrValue)
{
    for (const follower_message &each : messages) {
        const byte_buffer whole = encodeFollowerMessage(each);
        for (std::size_t at = 0; at < whole.size(); ++at) {
            byte_buffer damaged = whole;
            damaged[at] ^= std::byte{0xff};
            refusalOf(damaged); // Another exception than coordination_error fails the test.
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
