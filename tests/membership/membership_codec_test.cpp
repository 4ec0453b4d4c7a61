#include "golden_file.h"

#include "wire/membership_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

/// One message of each kind.
struct membership_codec_fixture {
    member_record record{.id = {0x8000'0000'0000'0001U},
                         .incarnation = 7,
                         .status = member_status::Suspect,
                         .address = "[::1]:7000",
                         .dataCentre = "gdl-1",
                         .roles = ControlRole};
    std::vector<membership_message> messages{
        membership_ping{1},
        membership_ack{.nonce = 0xffff'ffff'ffff'ffffU},
        membership_ack{.nonce = 1, .leaderBeacon = beacon{{2}, 3, {4}, duration(5)}},
        membership_ping_request{3, {4}, "10.0.0.1:1"},
        membership_gossip{.updates = {{.record = record, .accuser = {9}}}, .repair = true},
        membership_digest{record, {1, 0xffff'ffffU, 0}},
        membership_summary{{.buckets = {0, 65'535}, .hashes = {1, 0xffff'0000'0000'0001U}}},
        membership_record_request{{5, 6}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_codec_test, membership_codec_fixture)

BOOST_AUTO_TEST_CASE(encodeMembership_eachKind_equalsGoldenFile)
{
    std::vector<std::byte> written;
    for (const membership_message &each : messages) {
        std::ranges::copy(encodeMembership(each), std::back_inserter(written));
    }
    BOOST_CHECK_MESSAGE(written == readGolden("membership/golden/membership_messages.hex"),
                        "membership/golden/membership_messages.hex differs from:\n"
                            << toHex(written));
}

BOOST_AUTO_TEST_CASE(decodeMembership_eachKind_sameMessage)
{
    for (const membership_message &each : messages) {
        BOOST_TEST((decodeMembership(encodeMembership(each)) == each));
    }
}

BOOST_AUTO_TEST_CASE(decodeMembership_anyByteChangedOrCut_messageOrNumberedError)
{
    for (const membership_message &each : messages) {
        const byte_buffer whole = encodeMembership(each);
        for (std::size_t i = 0; i < whole.size(); ++i) {
            BOOST_CHECK_THROW(decodeMembership(std::span(whole).first(i)), coordination_error);
            for (const unsigned value : {0x00U, 0x1bU, 0x5bU, 0x80U, 0x9fU, 0xa1U, 0xf6U, 0xffU}) {
                byte_buffer changed = whole;
                changed[i] = static_cast<std::byte>(value);
                try {
                    decodeMembership(changed);
                } catch (const coordination_error &error) {
                    BOOST_TEST((error.code() == result_code::MessageMalformed));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
