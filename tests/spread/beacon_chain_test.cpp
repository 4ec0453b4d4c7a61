#include <guavafront/coordination/spread/beacon.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

/// VMs that pass a leader's beacons on to each other in answers to pings, on simulated time. Answers wait at their
/// receivers or on cut links for up to seconds, leaders change, and a quorum answers heartbeats late.
class beacon_chain
{
public:
    explicit beacon_chain(std::uint64_t seed)
        : m_random(seed)
        , m_vms(vmCount)
    {
    }

    /// Plays some seconds. Returns by how much a VM's date lay after the acceptance of a newer revision than the one
    /// that it vouches for, at worst; negative or 0 if none did.
    duration worstExcess()
    {
        const instant end = m_now + std::chrono::seconds(12);
        duration worst = duration::min();
        while (m_now < end) {
            m_now += std::chrono::microseconds(200 + below(4'000));
            leadOn();
            ping();
            deliver();
            for (const beacon_state &vm : m_vms) {
                worst = std::max(worst, excessOf(vm));
            }
        }
        return worst;
    }

private:
    static constexpr std::size_t vmCount = 12; ///< The first one is the leader's VM.
    static constexpr duration heartbeatInterval = milliseconds(150);

    /// Answer to a ping, on its way.
    struct answer {
        std::size_t to; ///< VM that sent the ping.
        instant askedAt; ///< When that was.
        beacon content; ///< What the other VM knew.
    };

    std::uint64_t below(std::uint64_t limit)
    {
        return m_random() % limit;
    }

    /// Lets the leader send heartbeats, accept revisions and publish what a quorum has confirmed.
    void leadOn()
    {
        if (below(800) == 0) { // Another leader: it starts after the old one's last confirmed heartbeat.
            ++m_term.value;
            m_round = 0;
            m_unanswered.clear();
        }
        if (m_now >= m_heartbeatDue) {
            m_unanswered.emplace(++m_round, m_now);
            m_heartbeatDue = m_now + heartbeatInterval;
        }
        if (below(60) == 0) {
            m_acceptedAt.push_back(m_now);
        }
        const bool late = (m_now.time_since_epoch() / std::chrono::seconds(1)) % 3 == 1;
        while (!m_unanswered.empty() && below(late ? 400 : 4) == 0) {
            const auto [round, sentAt] = *m_unanswered.begin();
            m_unanswered.erase(m_unanswered.begin());
            issueBeacon(m_vms.front(), m_term, round, {m_acceptedAt.size()}, sentAt);
        }
    }

    /// One VM asks another one, which answers now; the answer takes from 0.1 ms to seconds.
    void ping()
    {
        const std::size_t from = below(vmCount);
        const std::size_t to = below(vmCount);
        const instant askedAt = m_now - std::chrono::microseconds(100 + below(below(20) == 0 ? 2'000'000 : 6'000));
        if (const std::optional<beacon> known = relayedBeacon(m_vms[to], m_now); known && from != to) {
            const duration takes = std::chrono::microseconds(100 + below(below(20) == 0 ? 4'000'000 : 6'000));
            m_answers.emplace(m_now + takes, answer{from, askedAt, *known});
        }
    }

    void deliver()
    {
        const auto arrived = m_answers.upper_bound(m_now);
        for (auto each = m_answers.begin(); each != arrived; ++each) {
            receiveBeacon(m_vms[each->second.to], each->second.content, each->second.askedAt);
        }
        m_answers.erase(m_answers.begin(), arrived);
    }

    /// How far a VM's date lies after the acceptance of the revision that follows the one that its beacon names.
    duration excessOf(const beacon_state &vm) const
    {
        if (!vm.newest || vm.newest->accepted.value >= m_acceptedAt.size()) {
            return duration::min();
        }
        return vm.issuedAfter - m_acceptedAt[vm.newest->accepted.value];
    }

    std::mt19937_64 m_random; ///< Source of all random numbers.
    std::vector<beacon_state> m_vms; ///< What each VM knows.
    std::multimap<instant, answer> m_answers; ///< Answers on their way, by the time of arrival.
    instant m_now{std::chrono::hours(1)}; ///< Simulated time.
    instant m_heartbeatDue; ///< When the leader sends its next heartbeat.
    term m_term{1}; ///< Term of the leader.
    std::uint64_t m_round = 0; ///< Number of its latest heartbeat.
    std::map<std::uint64_t, instant> m_unanswered; ///< Heartbeats that no quorum has answered, with their times.
    std::vector<instant> m_acceptedAt; ///< When each revision was accepted, from 1 on.
};

/// Seeds of the schedules.
struct beacon_chain_fixture {
    static constexpr std::uint64_t seeds = 200;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(beacon_chain_test, beacon_chain_fixture)

// Guards against withdrawn keys that are accepted for longer than the limit: a date says that no newer revision had
// been accepted by then, whatever way the beacon took.
BOOST_AUTO_TEST_CASE(date_answersLateAndLeadersChanging_neverAfterANewerRevision)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(beacon_chain(seed).worstExcess().count() <= 0);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
