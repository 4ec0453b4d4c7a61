#include "golden_file.h"

#include "wire/replication_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace guavafront
{

namespace
{

struct replication_codec_fixture {
    membership members{{{{1}, voting_role::Voter, {}}, {{2}, voting_role::Learner, {1}}}};
    log_record commandRecord{{5}, {2}, command{{std::byte{9}}}};
    log_record membersRecord{{6}, {2}, members};
    /// One message of each type.
    std::vector<replication_message> messages{
        message(vote_request{true, {5}, {2}}),
        message(vote_answer{false, true}),
        message(append_request{{4}, {2}, {3}, {commandRecord, membersRecord, {{7}, {2}, no_op{}}}}),
        message(append_answer{true, {7}}),
        message(snapshot_chunk{{3}, {1}, members, 10, 4, {std::byte{8}}}),
        message(snapshot_answer{{3}, 5}),
    };

    template<class body>
    static replication_message message(const body &content)
    {
        return {{7}, {1}, {2}, {3}, 4, content};
    }

    /// The encodings of all messages.
    std::vector<std::byte> encodeAll() const
    {
        std::vector<std::byte> all;
        for (const replication_message &each : messages) {
            std::ranges::copy(encodeReplicationMessage(each), std::back_inserter(all));
        }
        return all;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replication_codec_test, replication_codec_fixture)

BOOST_AUTO_TEST_CASE(encode_eachMessage_equalsGoldenFile)
{
    const std::vector<std::byte> written = encodeAll();
    BOOST_CHECK_MESSAGE(written == readGolden("wire/golden/replication_messages.hex"),
                        "wire/golden/replication_messages.hex differs from:\n"
                            << toHex(written));
}

BOOST_AUTO_TEST_CASE(decode_eachMessage_sameValue)
{
    for (const replication_message &each : messages) {
        BOOST_CHECK(decodeReplicationMessage(encodeReplicationMessage(each)) == each);
    }
}

BOOST_AUTO_TEST_CASE(decode_everyFlippedByte_numberedErrorOrValue)
{
    for (const replication_message &each : messages) {
        const byte_buffer whole = encodeReplicationMessage(each);
        for (std::size_t at = 0; at < whole.size(); ++at) {
            byte_buffer damaged = whole;
            damaged[at] ^= std::byte{0xff};
            try {
                decodeReplicationMessage(damaged);
            } catch (const coordination_error &fault) {
                BOOST_CHECK(fault.code() == result_code::MessageMalformed
                            || fault.code() == result_code::MessageUnknown);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
