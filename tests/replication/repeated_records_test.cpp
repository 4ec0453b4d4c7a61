#include "replication/replica_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// Replica 1 leads; replica 2 confirms all that it is sent, and replica 3 is silent unless a case says otherwise.
struct repeated_records_fixture : replica_fixture {
    static constexpr std::size_t commandBytes = std::size_t{100} << 10;

    repeated_records_fixture()
    {
        elect();
        confirmAll();
        sync();
    }

    void propose()
    {
        run(command_proposed{1, std::vector<std::byte>(commandBytes)});
        sync();
    }

    void beat()
    {
        now = self.heartbeatDue;
        run(timer_fired{});
    }

    void confirm(std::uint64_t from)
    {
        receive(from, self.currentTerm.value, append_answer{true, lastIndex(self.log)});
    }

    /// Appends of the last step to a replica.
    std::vector<append_request> appendsTo(std::uint64_t replica) const
    {
        std::vector<append_request> found;
        for (const replica_effect &effect : effects) {
            const auto *sent = std::get_if<send_message>(&effect);
            const auto *append = sent ? std::get_if<append_request>(&sent->message.body) : nullptr;
            if (append && sent->message.to == vm_id{replica}) {
                found.push_back(*append);
            }
        }
        return found;
    }

    /// Number of records in the appends of the last step to a replica.
    std::size_t recordsTo(std::uint64_t replica) const
    {
        std::size_t count = 0;
        for (const append_request &each : appendsTo(replica)) {
            count += each.records.size();
        }
        return count;
    }

    /// A refusal by replica 3, whose log ends at an index, of the message of a heartbeat round.
    void refuse(std::uint64_t last, std::uint64_t round)
    {
        run(message_received{{{7}, {3}, {1}, self.currentTerm, round, append_answer{false, {last}}}});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(repeated_records_test, repeated_records_fixture)

// Guards against leaders that send all records again in each heartbeat to VMs that can't be reached.
BOOST_AUTO_TEST_CASE(heartbeats_peerSilent_carryNoRecordAgain)
{
    propose();
    for (int round = 0; round < 10; ++round) {
        beat();
        BOOST_TEST(appendsTo(3).size() == 1U);
        BOOST_TEST(recordsTo(3) == 0U);
        confirm(2);
    }
    BOOST_CHECK(self.role == replica_role::Leader);
}

BOOST_AUTO_TEST_CASE(records_peerSilent_boundedUnderWay)
{
    std::size_t sent = 0;
    for (int change = 0; change < 10; ++change) {
        run(command_proposed{1, std::vector<std::byte>(commandBytes)});
        sent += recordsTo(3);
        sync();
        confirm(2);
        beat();
        sent += recordsTo(3);
        confirm(2);
    }
    BOOST_TEST(sent == 2U);
}

BOOST_AUTO_TEST_CASE(records_lost_sentAgainOnceItsHeartbeatIsRefused)
{
    const std::uint64_t held = lastIndex(self.log).value;
    propose();
    beat();
    const std::uint64_t round = self.heartbeatRound;
    refuse(held, round);
    BOOST_TEST(recordsTo(3) == 1U);
    // What left before the records were sent again is refused, too.
    refuse(held, round - 1);
    refuse(held, round);
    BOOST_TEST(recordsTo(3) == 0U);
    beat();
    refuse(held, self.heartbeatRound);
    BOOST_TEST(recordsTo(3) == 1U);
}

BOOST_AUTO_TEST_CASE(records_peerLacksEarlierOnes_askedForAtOnce)
{
    for (std::uint64_t index = 1; index <= 3; ++index) {
        disk.log.records.push_back(record(index, 1));
    }
    restart();
    elect();
    const std::uint64_t round = self.heartbeatRound;
    refuse(2, round);
    BOOST_REQUIRE(appendsTo(3).size() == 1U);
    BOOST_TEST(appendsTo(3).front().previousIndex.value == 2U);
    refuse(0, round);
    BOOST_REQUIRE(appendsTo(3).size() == 1U);
    BOOST_TEST(appendsTo(3).front().previousIndex.value == 0U);
}

BOOST_AUTO_TEST_CASE(records_confirmedOneByOne_allSent)
{
    for (int change = 0; change < 5; ++change) {
        propose();
        confirm(2);
    }
    std::uint64_t held = lastIndex(self.log).value - 5;
    for (int answers = 0; answers < 5 && held < lastIndex(self.log).value; ++answers) {
        receive(3, self.currentTerm.value, append_answer{true, {++held}});
    }
    BOOST_TEST(self.peers.back().matchIndex.value == held);
    BOOST_CHECK(self.peers.back().nextIndex.value == lastIndex(self.log).value + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
