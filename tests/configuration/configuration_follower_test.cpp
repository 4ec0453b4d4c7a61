#include "configuration/configuration_fixture.h"

#include "wire/configuration_codec.h"
#include "wire/configuration_history.h"

#include <guavafront/coordination/configuration/configuration_follower.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t smallPartBytes = 900; // Small enough that a snapshot takes several parts.

/// Followers on a simulated network with delays, losses and cut links. The first VMs play the control VMs.
class simulated_network
{
public:
    simulated_network(std::uint64_t seed, std::uint64_t vms, std::uint64_t controlVms = 1)
        : controls(controlVms)
        , m_random(seed)
    {
        for (std::uint64_t id = 1; id <= vms; ++id) {
            m_ids.push_back({id});
        }
        for (const vm_id id : m_ids) {
            restart(id);
        }
    }

    /// Restarts the VM with no configuration, as an entry VM's process starts.
    void restart(vm_id id)
    {
        m_vms[id] = {};
        if (id.value <= controls) {
            m_vms[id].options.fanOut = follower_options{}.controlFanOut;
        }
        std::vector<vm_id> others = m_ids;
        std::erase(others, id);
        run(id, peers_changed{others});
    }

    /// VM 1 accepts a new revision, which creates an account.
    void accept()
    {
        const configuration_follower &control = m_vms[{1}];
        const std::vector<change> changes{create_account{"a" + std::to_string(control.current->atRevision.value)}};
        const auto next = std::make_shared<const configuration>(applyChanges(*control.current, changes));
        const history_digest digest = nextDigest(m_secret, control.digest, next->atRevision, changes);
        const history_digest previous = control.digest;
        for (std::uint64_t id = 1; id <= controls; ++id) {
            run({id}, revision_applied{next, digest, {{next->atRevision, previous, digest, changes}}});
        }
    }

    /// Lets every VM hear of the accepted revision from beacons, which reach it by another way than the changes.
    void announceToAll()
    {
        const revision accepted = m_vms[{1}].current->atRevision;
        for (const vm_id id : m_ids) {
            after(duration(m_random() % 20'000), [this, id, accepted] { run(id, revision_announced{accepted}); });
        }
    }

    void run(vm_id id, const follower_event &event)
    {
        configuration_follower &follower = m_vms[id];
        const revision before = follower.current->atRevision;
        std::vector<follower_effect> effects;
        step(follower, event, m_now, m_random(), effects);
        BOOST_REQUIRE(follower.current->atRevision >= before);
        for (const follower_effect &effect : effects) {
            std::visit([this, id](const auto &value) { perform(id, value); }, effect);
        }
        armTick(id);
    }

    void runFor(duration length)
    {
        const instant end = m_now + length;
        while (!m_queue.empty() && m_queue.top().due <= end) {
            const scheduled next = m_queue.top();
            m_queue.pop();
            m_now = next.due;
            next.action();
        }
        m_now = end;
    }

    /// Number of VMs that hold the same revision and history as VM 1, including VM 1.
    std::size_t upToDate() const
    {
        const configuration_follower &control = m_vms.at({1});
        return static_cast<std::size_t>(std::ranges::count_if(m_vms, [&control](const auto &each) {
            return each.second.digest == control.digest && *each.second.current == *control.current;
        }));
    }

    configuration_follower &at(vm_id id)
    {
        return m_vms[id];
    }

    std::uint64_t controls; ///< Number of control VMs, which accept revisions at the same time.
    std::uint64_t lossPercent = 0; ///< Percentage of messages that are lost.
    std::set<std::pair<vm_id, vm_id>> cuts; ///< Links, as sender and receiver, on which every message is lost.
    duration transferTime{}; ///< Time for which deltas occupy the link of each end; control VMs have fast ones.
    duration applyTime{}; ///< Processor time that a VM takes to decode deltas and apply them.
    std::uint64_t snapshotParts = 0; ///< Number of snapshot parts sent.
    std::uint64_t deltasSent = 0; ///< Number of deltas sent.

private:
    struct scheduled {
        instant due; ///< Time at which the action runs.
        std::uint64_t order; ///< Order of scheduling, for actions that are due at the same time.
        std::function<void()> action; ///< Action to run.
    };
    /// Orders the queue so that the earliest action is on top.
    struct later {
        bool operator()(const scheduled &left, const scheduled &right) const
        {
            return std::pair(left.due, left.order) > std::pair(right.due, right.order);
        }
    };

    void after(duration delay, std::function<void()> action)
    {
        m_queue.push({m_now + delay, ++m_order, std::move(action)});
    }

    void send(vm_id from, vm_id to, const follower_event &event)
    {
        if (m_random() % 100 >= lossPercent && !cuts.contains({from, to})) {
            after(duration(1'000 + m_random() % 20'000), [this, to, event] { run(to, event); });
        }
    }

    void perform(vm_id id, const send_offer &effect)
    {
        send(id, effect.to, offer_received{id, effect.held});
    }

    void perform(vm_id id, const send_pull &effect)
    {
        send(id, effect.to, pull_received{id, effect.held, effect.snapshot});
    }

    void perform(vm_id id, const send_deltas &effect)
    {
        deltasSent += effect.deltas.size();
        instant &senderFree = m_linkFreeAt[id];
        instant &receiverFree = m_linkFreeAt[effect.to];
        const bool isFast = id.value <= controls;
        const instant start = std::max({m_now, receiverFree, isFast ? m_now : senderFree});
        const instant arrives = start + transferTime;
        receiverFree = arrives;
        if (!isFast) {
            senderFree = arrives;
        }
        const instant applied = std::max(arrives, m_processorFreeAt[effect.to]) + applyTime;
        m_processorFreeAt[effect.to] = applied;
        const deltas_received event{id, effect.deltas};
        after(applied - m_now + duration(1'000 + m_random() % 20'000),
              [this, to = effect.to, event] { run(to, event); });
    }

    void perform(vm_id id, const send_snapshot_part &effect)
    {
        const configuration_follower &follower = m_vms[id];
        const std::vector<std::byte> encoded = encodeConfiguration(*follower.current);
        const held_revision held{follower.current->atRevision, follower.digest};
        const std::size_t offset = std::min<std::size_t>(effect.offset, encoded.size());
        const auto rest = std::span(encoded).subspan(offset);
        const auto bytes = rest.first(std::min(rest.size(), smallPartBytes));
        ++snapshotParts;
        send(id, effect.to,
             snapshot_part_received{id, {held, {}, encoded.size(), offset, {bytes.begin(), bytes.end()}}});
    }

    void perform(vm_id id, const verify_snapshot &effect)
    {
        run(id, snapshot_verified{std::make_shared<const configuration>(decodeConfiguration(effect.whole.bytes)),
                                  effect.whole.held.digest});
    }

    void perform(vm_id /*id*/, const revision_in_force & /*effect*/)
    {
    }

    void tick(vm_id id)
    {
        m_nextTick.erase(id);
        run(id, follower_tick{});
    }

    /// Schedules a tick at the follower's next deadline, unless one is due before.
    void armTick(vm_id id)
    {
        const instant due = std::max(m_now + milliseconds(10), nextDeadline(m_vms[id]));
        const auto known = m_nextTick.find(id);
        if (known != m_nextTick.end() && known->second <= due) {
            return;
        }
        m_nextTick[id] = due;
        after(due - m_now, [this, id, due] {
            if (const auto next = m_nextTick.find(id); next != m_nextTick.end() && next->second == due) {
                tick(id);
            }
        });
    }

    std::map<vm_id, instant> m_nextTick; ///< Time of each VM's next tick.
    std::map<vm_id, instant> m_linkFreeAt; ///< Time at which a VM's link has carried its last deltas.
    std::map<vm_id, instant> m_processorFreeAt; ///< Time at which a VM has applied its last deltas.
    std::mt19937_64 m_random; ///< Source of delays, losses and the followers' random numbers.
    fleet_secret m_secret{}; ///< Key of the history digests.
    instant m_now{seconds(1)}; ///< Simulated time.
    std::uint64_t m_order = 0; ///< Order number of the action scheduled last.
    std::vector<vm_id> m_ids; ///< Ids of all VMs.
    std::map<vm_id, configuration_follower> m_vms; ///< Follower of each VM.
    std::priority_queue<scheduled, std::vector<scheduled>, later> m_queue; ///< Scheduled actions.
};

struct configuration_follower_fixture {
    static constexpr std::uint64_t vms = 48; ///< Number of VMs, as in the present fleet; VM 1 plays the control VM.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_follower_test, configuration_follower_fixture)

BOOST_AUTO_TEST_CASE(accepted_lossyNetworkAndRestarts_inForceEverywhere)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_network network(seed, vms);
        network.lossPercent = 20;
        for (int i = 0; i < 30; ++i) {
            network.accept();
            network.runFor(milliseconds(200));
            network.restart({2 + seed % (vms - 1)});
        }
        network.runFor(seconds(18));
        BOOST_TEST(network.upToDate() == vms, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(accepted_beaconsComeBeforeChanges_inForceEverywhereInTime)
{
    constexpr std::uint64_t largeFleet = 128;
    constexpr duration applyLimit = seconds(2); // The platform's ConfigApplyMs.
    constexpr duration step = milliseconds(50);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_network network(seed, largeFleet);
        network.accept();
        network.runFor(seconds(15));
        for (int change = 0; change < 20; ++change) {
            network.accept();
            network.announceToAll();
            duration waited{};
            while (network.upToDate() < largeFleet && waited <= seconds(10)) {
                network.runFor(step);
                waited += step;
            }
            BOOST_TEST((waited <= applyLimit), "seed " << seed << ", change " << change
                                                       << ": in force everywhere after " << waited.count() / 1'000
                                                       << " ms");
            network.runFor(milliseconds(300));
        }
    }
}

BOOST_AUTO_TEST_CASE(accepted_largeDeltasOnSlowLinks_inForceEverywhereInTime)
{
    constexpr std::uint64_t largeFleet = 128;
    constexpr std::uint64_t controlVms = 11;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulated_network network(seed, largeFleet, controlVms);
        network.accept();
        network.runFor(seconds(15));
        network.transferTime = milliseconds(110); // 30 KB at 2.2 Mbit/s.
        network.applyTime = milliseconds(150);
        network.accept();
        network.announceToAll();
        duration waited{};
        while (network.upToDate() < largeFleet && waited <= seconds(20)) {
            network.runFor(milliseconds(50));
            waited += milliseconds(50);
        }
        BOOST_TEST((waited <= seconds(1)), "seed " << seed << ": in force everywhere after " << waited.count() / 1'000
                                                   << " ms, " << network.deltasSent << " deltas sent");
    }
}

BOOST_AUTO_TEST_CASE(restart_controlAway_takenFromPeers)
{
    simulated_network network(3, vms);
    for (int i = 0; i < 600; ++i) {
        network.accept();
        network.runFor(milliseconds(100));
    }
    network.runFor(seconds(18));
    for (std::uint64_t id = 2; id <= vms; ++id) {
        network.cuts.insert({vm_id{1}, vm_id{id}});
    }
    network.snapshotParts = 0;
    network.restart({7});
    network.runFor(seconds(10));
    BOOST_TEST(network.upToDate() == vms);
    BOOST_TEST(network.snapshotParts > 1U);
}

BOOST_AUTO_TEST_CASE(accepted_controlReachesOneVmOnly_inForceEverywhere)
{
    simulated_network network(4, vms);
    for (std::uint64_t id = 3; id <= vms; ++id) {
        network.cuts.insert({vm_id{1}, vm_id{id}});
    }
    network.accept();
    network.runFor(seconds(18));
    BOOST_TEST(network.upToDate() == vms);
}

BOOST_AUTO_TEST_CASE(restartOfAllButOne_hundredsOfRevisions_wholeSentSoon)
{
    simulated_network network(8, vms);
    for (int i = 0; i < 300; ++i) {
        network.accept();
    }
    for (std::uint64_t id = 2; id <= vms; ++id) {
        network.restart({id});
    }
    network.deltasSent = 0;
    network.runFor(milliseconds(600));
    BOOST_TEST(network.upToDate() == vms);
    BOOST_TEST(network.deltasSent == 0U);
}

BOOST_AUTO_TEST_CASE(received_olderRevision_neverReverts)
{
    simulated_network network(5, 3);
    network.accept();
    const configuration_follower old = network.at({1});
    network.accept();
    network.runFor(seconds(10));
    network.run({2}, deltas_received{{3}, {old.recentDeltas.begin(), old.recentDeltas.end()}});
    network.run({2}, snapshot_verified{old.current, old.digest});
    BOOST_TEST(network.at({2}).current->atRevision.value == 2U);
}

BOOST_AUTO_TEST_CASE(received_foreignHistory_notTaken)
{
    simulated_network network(6, 3);
    network.accept();
    network.runFor(seconds(10));
    configuration_delta foreign = network.at({1}).recentDeltas.back();
    foreign.atRevision = {2};
    foreign.previousDigest.fill(std::byte{9});
    network.run({2}, deltas_received{{3}, {foreign}});
    BOOST_TEST(network.at({2}).current->atRevision.value == 1U);
    network.run({2}, offer_received{{3}, {{1}, foreign.previousDigest}});
    BOOST_TEST(network.at({2}).divergenceCount == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
