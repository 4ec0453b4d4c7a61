#include "control/control_cluster.h"

#include <boost/test/unit_test.hpp>
#include <glog/logging.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace guavafront
{

namespace
{

/// Keeps the lines that the tasks log while it lives.
class log_lines : public google::LogSink
{
public:
    log_lines()
    {
        google::AddLogSink(this);
    }

    ~log_lines() override
    {
        google::RemoveLogSink(this);
    }

    log_lines(const log_lines &) = delete;
    log_lines &operator=(const log_lines &) = delete;

    using google::LogSink::send;
    void send(google::LogSeverity /*severity*/, const char * /*fullFileName*/, const char * /*fileName*/, int /*line*/,
              const google::LogMessageTime & /*time*/, const char *message, std::size_t length) override
    {
        const std::lock_guard lock(m_mutex);
        m_lines.emplace_back(message, length);
    }

    /// Returns the first line that has all these parts; empty while there is none.
    std::string find(const std::vector<std::string> &parts) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::ranges::find_if(m_lines, [&parts](const std::string &line) {
            return std::ranges::all_of(
                parts, [&line](const std::string &part) { return line.find(part) != std::string::npos; });
        });
        return found == m_lines.end() ? std::string() : *found;
    }

    /// Forgets the lines so far.
    void clear()
    {
        const std::lock_guard lock(m_mutex);
        m_lines.clear();
    }

private:
    mutable std::mutex m_mutex; ///< Guards m_lines.
    std::vector<std::string> m_lines; ///< Lines in order.
};

/// Cluster of three control VMs that all vote, and the lines that they log.
struct leaderless_cluster_fixture {
    log_lines lines; ///< Outlives the tasks.
    control_cluster cluster{3};
    std::vector<vm_id> voters; ///< Identities of the VMs.

    leaderless_cluster_fixture()
    {
        voters = {cluster.identityOf(0), cluster.identityOf(1), cluster.identityOf(2)};
        cluster.waitUntil([this] {
            cluster.announceAll();
            return voterCount(cluster.statusOf(cluster.waitForLeader()).members) == voters.size();
        });
    }

    static std::string hexOf(vm_id vm)
    {
        std::ostringstream text;
        text << std::hex << vm.value;
        return text.str();
    }

    static std::string addressOf(std::size_t vm)
    {
        return "10.0.0." + std::to_string(vm) + ":7500";
    }

    /// Tells a VM the addresses of the others.
    void learnAddresses(std::size_t vm)
    {
        live_control_vms_changed seen;
        for (std::size_t other = 0; other < voters.size(); ++other) {
            if (other != vm) {
                seen.vms.push_back(voters[other]);
                seen.addresses.push_back(addressOf(other));
            }
        }
        cluster.inboxOf(vm).post(seen);
    }

    /// Waits until a line with all these parts is logged.
    void waitForLine(const std::vector<std::string> &parts)
    {
        cluster.waitUntil([&] { return !lines.find(parts).empty(); });
    }

    /// Returns the value of a metric on the page of a VM; 0 if it isn't there.
    double metricOf(std::size_t vm, const std::string &metric)
    {
        std::istringstream page(prometheus::TextSerializer().Serialize(cluster.countersOf(vm).registry().Collect()));
        for (std::string line; std::getline(page, line);) {
            if (line.starts_with(metric + " ")) {
                return std::stod(line.substr(metric.size()));
            }
        }
        return 0;
    }

    /// Waits until a metric of a VM has a value.
    void waitForMetric(std::size_t vm, const std::string &metric, double value)
    {
        cluster.waitUntil([&] { return metricOf(vm, metric) == value; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(leaderless_cluster_test, leaderless_cluster_fixture)

BOOST_AUTO_TEST_CASE(survivor_majorityStopped_logsWhomItCountedAndWhoWasSilent)
{
    const std::size_t leader = cluster.waitForLeader();
    const std::size_t survivor = (leader + 1) % voters.size();
    const std::size_t other = (leader + 2) % voters.size();
    cluster.stop(other);
    cluster.stop(leader);
    std::vector<vm_id> silent{voters[leader], voters[other]};
    std::ranges::sort(silent);
    waitForLine({"control: no leader for ",
                 "quorum of 2 among voters " + hexOf(voters[0]) + " " + hexOf(voters[1]) + " " + hexOf(voters[2]) + ";",
                 "pre-vote granted by " + hexOf(voters[survivor]) + " (this VM);",
                 "no answer from " + hexOf(silent[0]) + " (live) " + hexOf(silent[1])});
    cluster.waitUntil([&] { return metricOf(survivor, "guavafront_control_leaderless_seconds") > 1; });
    BOOST_TEST(metricOf(survivor, "guavafront_control_leader_known") == 0);
    waitForMetric(survivor, "guavafront_control_quorum_size", 2);
    waitForMetric(survivor, "guavafront_control_members{role=\"voter\"}", 3);
    waitForMetric(survivor, "guavafront_control_is_voter", 1);
    lines.clear();
    cluster.start(other);
    cluster.waitForLeader();
    waitForLine({"control: VM ", " leads term ", "no leader was known for "});
    waitForMetric(survivor, "guavafront_control_leader_known", 1);
    waitForMetric(survivor, "guavafront_control_leaderless_seconds", 0);
}

BOOST_AUTO_TEST_CASE(leader_majorityStopped_logsWhoWasSilent)
{
    const std::size_t leader = cluster.waitForLeader();
    cluster.stop((leader + 1) % voters.size());
    cluster.stop((leader + 2) % voters.size());
    waitForLine(
        {"control: gave up leading term ", "answered by " + hexOf(voters[leader]) + " (this VM);", "no answer from "});
}

// Guards against lines whose identities on-call can't tie to a VM, although the control task knows the addresses.
BOOST_AUTO_TEST_CASE(leader_majorityStoppedAddressesKnown_logsThemWithTheSilence)
{
    const std::size_t leader = cluster.waitForLeader();
    const std::size_t first = (leader + 1) % voters.size();
    const std::size_t second = (leader + 2) % voters.size();
    learnAddresses(leader);
    cluster.stop(first);
    cluster.stop(second);
    waitForLine({"control: gave up leading term ", hexOf(voters[first]) + " (" + addressOf(first),
                 hexOf(voters[second]) + " (" + addressOf(second), " s, ", " under way"});
}

BOOST_AUTO_TEST_CASE(followers_leaderStopped_logItsAddressAndWhenTheyHeardIt)
{
    const std::size_t leader = cluster.waitForLeader();
    learnAddresses((leader + 1) % voters.size());
    learnAddresses((leader + 2) % voters.size());
    cluster.stop(leader);
    waitForLine({"control: lost the leader of term ",
                 ", VM " + hexOf(voters[leader]) + " (" + addressOf(leader) + "), heard ", " s ago"});
}

BOOST_AUTO_TEST_CASE(voter_askedWhileALeaderLives_logsAndCountsTheRefusal)
{
    const std::size_t leader = cluster.waitForLeader();
    const std::string refusals = "guavafront_control_votes_refused_total{reason=\"leader_known\"}";
    const double before = metricOf(leader, refusals);
    const vm_id candidate = voters[(leader + 1) % voters.size()];
    const replication_message request{
        {7}, candidate, voters[leader], {9}, 0, vote_request{.preVote = true, .lastIndex = {99}, .lastTerm = {8}}};
    cluster.inboxOf(leader).post(
        replication_from_peer{candidate, {.kind = channel::Replication, .body = encodeReplicationMessage(request)}});
    waitForLine({"control: refused pre-vote of VM " + hexOf(candidate) + " in term 9: this VM leads term "});
    cluster.waitUntil([&] { return metricOf(leader, refusals) > before; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
