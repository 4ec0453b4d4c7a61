#include "replication/losses_schedule.h"

#include <algorithm>
#include <iterator>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration pollInterval = milliseconds(5);
constexpr duration momentLimit = seconds(5); ///< A moment that doesn't come in this time isn't waited for.
constexpr duration quietLimit = seconds(40); ///< All losses are over, and nobody counts as lost.

} // namespace

void losses_schedule::awaitMoment(const std::function<bool()> &moment, instant until,
                                  const std::function<void()> &action)
{
    if (m_cluster.now() >= until || moment()) {
        action();
        return;
    }
    m_cluster.after(pollInterval, [this, moment, until, action] { awaitMoment(moment, until, action); });
}

/// Returns whether the leader has a learner among its members.
bool losses_schedule::isLearning()
{
    const vm_id leading = m_cluster.leader();
    const auto isLearner = [](const member &each) {
        return each.role == voting_role::Learner;
    };
    return leading.value != 0 && std::ranges::any_of(m_cluster.at(leading).state.members.members, isLearner);
}

/// Returns whether a successor votes while a VM that is gone for good still counts as a voter.
bool losses_schedule::isSuccessorVotingBeside()
{
    const vm_id leading = m_cluster.leader();
    return leading.value != 0 && voterCount(m_cluster.at(leading).state.members) > m_machines.size();
}

std::function<bool()> losses_schedule::randomMoment()
{
    switch (m_cluster.random(3)) {
    case 0:
        return [this] {
            return isLearning();
        };
    case 1:
        return [this] {
            return isSuccessorVotingBeside();
        };
    default:
        return [] {
            return true;
        };
    }
}

void losses_schedule::recordMoment(const std::string &what)
{
    m_report.moments[what] += 1;
    m_report.moments[what + ", a learner is a member"] += isLearning() ? 1 : 0;
    m_report.moments[what + ", a successor votes beside its predecessor"] += isSuccessorVotingBeside() ? 1 : 0;
}

/// Splits the VMs or loses all of them, once a random moment has come, until the end of the day.
void losses_schedule::scheduleDisaster()
{
    m_cluster.after(between(1'000, 6'000), [this] {
        awaitMoment(randomMoment(), m_cluster.now() + momentLimit, [this] {
            if (m_cluster.now() >= m_dayEnd) {
                return;
            }
            beginDisaster();
            if (chance(60)) {
                split();
            } else {
                recordMoment("all killed");
                loseAll(chance(50), 1'000);
            }
            m_cluster.after(pollInterval, [this] { endDisaster(); });
        });
    });
}

/// Begins a disaster. What is lost at this time counts as lost until the disaster is over.
void losses_schedule::beginDisaster()
{
    m_isDisaster = true;
    for (machine &each : m_machines) {
        each.lostUntil = each.lostUntil > m_cluster.now() ? instant::max() : instant{};
    }
}

/// Splits the VMs into two random halves for some seconds, with losses on either side meanwhile.
void losses_schedule::split()
{
    recordMoment("split");
    simulated_links links = m_fleet.links();
    links.isSplit = true;
    links.detectorCrossesSplit = chance(50);
    std::vector<vm_id> vms;
    std::ranges::transform(m_machines, std::back_inserter(vms), &machine::vm);
    for (std::size_t left = vms.size(); left > 1; --left) {
        std::swap(vms[left - 1], vms[m_cluster.random(left)]);
    }
    links.half = {vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(vms.size() / 2)};
    m_fleet.setLinks(links);
    const duration length = between(1'000, 10'000);
    const std::uint64_t overlapping = m_cluster.random(2 * m_options.tolerated + 1);
    for (std::uint64_t i = 0; i < overlapping; ++i) {
        m_cluster.after(duration(m_cluster.random(static_cast<std::uint64_t>(length.count()))),
                        [this] { overlapLoss(); });
    }
    m_cluster.after(length, [this] { heal(); });
}

/// Loses a machine during a split; a disk only if no more are lost than tolerated.
void losses_schedule::overlapLoss()
{
    machine *victim = pickVictim(chance(20));
    if (!m_fleet.links().isSplit || victim == nullptr) {
        return;
    }
    const bool losesDisk = lostDisks() < m_options.tolerated && chance(60);
    if (losesDisk) {
        const bool isInHalf = m_fleet.links().half.contains(victim->vm);
        m_report.moments[isInHalf ? "disk lost in the smaller half" : "disk lost in the larger half"] += 1;
        lose(*victim, chance(50) ? loss::DiskLost : loss::Replaced);
    } else {
        lose(*victim, chance(50) ? loss::Kill : loss::PowerLoss);
    }
}

void losses_schedule::heal()
{
    simulated_links links = m_fleet.links();
    links.isSplit = false;
    links.half.clear();
    m_fleet.setLinks(links);
}

/// Ends the disaster once everything is back. All machines then count as lost for the time to catch up.
void losses_schedule::endDisaster()
{
    if (m_fleet.links().isSplit || isAnyAway()) {
        m_cluster.after(pollInterval, [this] { endDisaster(); });
        return;
    }
    m_isDisaster = false;
    for (machine &each : m_machines) {
        each.hasLostDisk = each.hasLostDisk && each.lostUntil > m_cluster.now();
        each.lostUntil = m_cluster.now() + m_options.catchUp;
    }
    scheduleDisaster();
}

/// Stops all VMs that run, and starts each again within the given time.
void losses_schedule::loseAll(bool isPowerLost, std::uint64_t mostMs)
{
    for (machine &each : m_machines) {
        simulated_vm &node = m_cluster.at(each.vm);
        if (!node.up) {
            continue; // It comes back by its own loss.
        }
        m_cluster.crash(each.vm);
        const vm_id vm = each.vm;
        m_cluster.after(between(50, isPowerLost ? mostMs : std::min<std::uint64_t>(mostMs, 1'000)), [this, vm] {
            if (!m_cluster.at(vm).up) {
                m_cluster.start(vm);
            }
        });
    }
}

/// Waits for a moment and for an accepted change, and then stops all VMs or loses as many disks as tolerated.
void losses_schedule::strikeFinally()
{
    const bool losesDisks = chance(60);
    bool isMoment = false;
    m_dayEnd = m_cluster.now() + momentLimit; // Losses go on until the moment has come.
    if (!m_isDisaster) {
        loseNext();
    }
    awaitMoment(randomMoment(), m_dayEnd, [&isMoment] { isMoment = true; });
    m_cluster.runUntilTrue([&isMoment] { return isMoment; }, momentLimit * 2, "a moment for the final fault");
    m_dayEnd = m_cluster.now();
    const auto disksLeft = [this] {
        return m_options.tolerated - std::min(m_options.tolerated, m_isDisaster ? lostDisks() : lostMachines());
    };
    if (losesDisks) {
        m_cluster.runUntilTrue([&] { return disksLeft() > 0; }, quietLimit, "a machine that may lose its disk");
    }
    const std::size_t before = m_operators->accepted().size();
    m_cluster.runUntilTrue([this, before] { return m_operators->accepted().size() > before; }, quietLimit,
                           "a change accepted before the final fault");
    m_cluster.runUntil(m_cluster.now() + between(4, 400));
    m_isStruck = true;
    recordMoment(losesDisks ? "finally disks lost" : "finally all lost");
    if (!losesDisks) {
        loseAll(chance(50), 3'000);
        return;
    }
    const bool othersLosePower = chance(60);
    const bool prefersSuccessor = chance(40);
    for (std::size_t left = disksLeft(); left > 0; --left) {
        if (machine *victim = pickVictim(prefersSuccessor)) {
            lose(*victim, loss::DiskLost);
        }
    }
    if (othersLosePower) {
        loseAll(true, 3'000);
    }
}

} // namespace guavafront
