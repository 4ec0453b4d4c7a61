#include "replication/losses_schedule.h"

#include <algorithm>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t targetVoters = 15; ///< As on the platform.
constexpr duration dayLength = seconds(30);
constexpr duration recoveryLimit = seconds(15);
constexpr duration backLimit = seconds(30); ///< All losses are shorter.
constexpr duration pollInterval = milliseconds(5);
constexpr duration longestWait = milliseconds(400); ///< Longer times without a confirmation are reported.

} // namespace

losses_options lossesOf(std::size_t vms, bool hasDisasters)
{
    const bool isSmall = vms < 9;
    return {vms, isSmall ? 1U : 2U, isSmall ? seconds(4) : seconds(6), hasDisasters};
}

losses_schedule::losses_schedule(std::uint64_t seed, const losses_options &options)
    : m_options(options)
    , m_fleet(seed, options.vms, targetVoters, options.tolerated)
    , m_cluster(m_fleet.cluster)
{
    for (const vm_id vm : m_cluster.currentVms()) {
        m_machines.push_back({.vm = vm, .address = m_fleet.addressOf(vm), .lostUntil = {}});
    }
    m_isEager = chance(50);
    m_hitsLeader = chance(50);
    if (!options.hasDisasters) {
        m_fleet.onConfirmed = [this](instant previous, instant now) {
            if (!m_isStruck && previous != instant{} && now - previous > longestWait) {
                m_report.leaderless.push_back(now - previous);
            }
        };
    }
}

losses_report losses_schedule::run()
{
    m_cluster.runUntilTrue([this] { return m_fleet.isWhole(); }, recoveryLimit, "the start of the fleet");
    m_cluster.runUntil(m_cluster.now() + seconds(2)); // The failure detectors have seen all VMs.
    racing_operators operators(m_cluster, 1);
    operators.onAccepted = [this](revision accepted) {
        m_fleet.recordShown(accepted);
    };
    m_operators = &operators;
    m_dayEnd = m_cluster.now() + dayLength;
    loseNext();
    if (m_options.hasDisasters) {
        scheduleDisaster();
    }
    m_cluster.runUntil(m_dayEnd);
    strikeFinally();
    m_cluster.runUntilTrue([this] { return !isAnyAway() && !m_fleet.links().isSplit; }, backLimit,
                           "the return of all VMs");
    const instant back = m_cluster.now();
    m_cluster.runUntilTrue([this] { return hasRecovered(); }, recoveryLimit, "recovery after the final fault");
    m_report.recovery = m_cluster.now() - back;
    const std::map<revision, std::string> accepted = operators.accepted();
    m_cluster.runUntil(m_cluster.now() + seconds(2));
    for (const machine &each : m_machines) {
        racing_operators::checkNothingLost(accepted, m_cluster.at(each.vm).stateMachine);
    }
    m_report.moments["member removed while cut off or frozen"] += m_fleet.removedWhileCutOff;
    m_operators = nullptr;
    return m_report;
}

bool losses_schedule::chance(std::uint64_t percent)
{
    return m_cluster.random(100) < percent;
}

duration losses_schedule::between(std::uint64_t leastMs, std::uint64_t mostMs)
{
    return milliseconds(leastMs + m_cluster.random(mostMs - leastMs + 1));
}

std::size_t losses_schedule::lostMachines() const
{
    const instant now = m_cluster.now();
    return static_cast<std::size_t>(
        std::ranges::count_if(m_machines, [now](const machine &each) { return each.lostUntil > now; }));
}

std::size_t losses_schedule::lostDisks() const
{
    const instant now = m_cluster.now();
    return static_cast<std::size_t>(std::ranges::count_if(
        m_machines, [now](const machine &each) { return each.lostUntil > now && each.hasLostDisk; }));
}

bool losses_schedule::isAnyAway()
{
    return std::ranges::any_of(m_machines,
                               [this](const machine &each) { return each.isAway || !m_fleet.cluster.at(each.vm).up; });
}

/// Returns a machine that runs and doesn't count as lost: the newest successor's or the leader's where the schedule
/// asks for it, otherwise any. Returns null when there is none.
losses_schedule::machine *losses_schedule::pickVictim(bool prefersSuccessor)
{
    std::vector<machine *> sound;
    for (machine &each : m_machines) {
        if (each.lostUntil <= m_cluster.now() && m_cluster.at(each.vm).up) {
            sound.push_back(&each);
        }
    }
    if (sound.empty()) {
        return nullptr;
    }
    const vm_id leading = m_cluster.leader();
    const auto found = std::ranges::find(sound, leading, [](const machine *each) { return each->vm; });
    if (prefersSuccessor) {
        return *std::ranges::max_element(sound, {}, [](const machine *each) { return each->vm; });
    }
    return m_hitsLeader && found != sound.end() ? *found : sound[m_cluster.random(sound.size())];
}

/// Loses a machine if that is tolerated now, and tries again later.
void losses_schedule::loseNext()
{
    if (m_cluster.now() >= m_dayEnd) {
        return;
    }
    if (!m_isDisaster && lostMachines() < m_options.tolerated) {
        if (machine *victim = pickVictim(chance(10))) {
            lose(*victim, static_cast<loss>(m_cluster.random(7)));
        }
    }
    m_cluster.after(m_isEager ? pollInterval : between(5, 3'000), [this] { loseNext(); });
}

void losses_schedule::lose(machine &victim, loss kind)
{
    ++m_report.losses;
    victim.isAway = true;
    victim.lostUntil = instant::max();
    victim.hasLostDisk = kind == loss::DiskLost || kind == loss::Replaced;
    simulated_links links = m_fleet.links();
    const vm_id vm = victim.vm;
    const auto back = [this, &victim] {
        comeBack(victim);
    };
    switch (kind) {
    case loss::Kill:
    case loss::PowerLoss:
        m_cluster.crash(vm);
        m_cluster.after(kind == loss::Kill ? between(50, 1'000) : between(100, 5'000), back);
        break;
    case loss::DiskLost:
        m_cluster.crash(vm);
        m_cluster.after(between(100, 2'000), [this, &victim] { startSuccessor(victim, false); });
        break;
    case loss::Replaced:
        m_cluster.crash(vm);
        m_cluster.after(between(500, 2'000), [this, &victim] { startSuccessor(victim, true); });
        break;
    case loss::Cut:
        links.cutOff[vm] = static_cast<cut_direction>(m_cluster.random(3));
        m_fleet.setLinks(links);
        m_cluster.after(between(1'000, 7'000), back);
        break;
    case loss::Frozen:
        m_cluster.freeze(vm);
        m_cluster.after(between(300, 5'000), back);
        break;
    case loss::SlowDisk:
        m_cluster.at(vm).slowDisk = true;
        m_cluster.after(between(1'000, 5'000), back);
        break;
    }
}

/// Starts a VM with an empty disk in place of a lost one.
void losses_schedule::startSuccessor(machine &victim, bool atNewAddress)
{
    if (atNewAddress) {
        victim.address = "10.1.0." + std::to_string(++m_lastAddress);
    }
    const vm_id former = victim.vm;
    victim.vm = m_fleet.addVm(victim.address);
    simulated_links links = m_fleet.links();
    if (links.isSplit && links.half.contains(former)) {
        links.half.insert(victim.vm);
        m_fleet.setLinks(links);
    }
    comeBack(victim);
}

void losses_schedule::comeBack(machine &victim)
{
    simulated_vm &node = m_cluster.at(victim.vm);
    simulated_links links = m_fleet.links();
    if (links.cutOff.erase(victim.vm) > 0) {
        m_fleet.setLinks(links);
    }
    node.slowDisk = false;
    if (!node.up) {
        m_cluster.start(victim.vm);
    } else if (node.frozen) {
        m_cluster.thaw(victim.vm);
    }
    victim.isAway = false;
    victim.lostUntil = m_isDisaster ? instant::max() : m_cluster.now() + m_options.catchUp;
}

bool losses_schedule::hasRecovered()
{
    const vm_id leading = m_fleet.confirmedLeader();
    if (leading.value != 0) {
        racing_operators::checkNothingLost(m_operators->accepted(), m_cluster.at(leading).stateMachine);
    }
    return m_fleet.isWhole();
}

} // namespace guavafront
