#include "replication/simulated_fleet.h"

#include <algorithm>
#include <stdexcept>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration detectionInterval = milliseconds(50);
constexpr duration minRemovalInterval = milliseconds(500);
constexpr std::uint64_t minDeathDelayMs = 500;
constexpr std::uint64_t maxDeathDelayMs = 3'000;
constexpr std::uint64_t minReturnDelayMs = 100;
constexpr std::uint64_t maxReturnDelayMs = 1'000;

replica_options optionsWith(std::size_t targetVoters, std::size_t toleratedDiskLosses)
{
    return {.maxMessageBytes = 4'096,
            .snapshotAfterRecords = 64,
            .keptRecords = 16,
            .targetVoters = targetVoters,
            .minVoters = 2 * toleratedDiskLosses + 1};
}

bool sends(const simulated_links &links, vm_id vm)
{
    const auto cut = links.cutOff.find(vm);
    return cut == links.cutOff.end() || cut->second == cut_direction::Receiving;
}

bool receives(const simulated_links &links, vm_id vm)
{
    const auto cut = links.cutOff.find(vm);
    return cut == links.cutOff.end() || cut->second == cut_direction::Sending;
}

bool isAcross(const simulated_links &links, vm_id first, vm_id second)
{
    return links.isSplit && links.half.contains(first) != links.half.contains(second);
}

} // namespace

simulated_fleet::simulated_fleet(std::uint64_t seed, std::size_t vms, std::size_t targetVoters,
                                 std::size_t toleratedDiskLosses)
    : cluster(seed, vms, optionsWith(targetVoters, toleratedDiskLosses))
{
    for (const vm_id vm : cluster.currentVms()) {
        m_addresses[vm] = "10.0.0." + std::to_string(vm.value);
    }
    cluster.onHandled = [this](vm_id vm) {
        publishProof(vm);
    };
    detect();
}

vm_id simulated_fleet::addVm(const std::string &address)
{
    const vm_id added = cluster.addVm();
    m_addresses[added] = address;
    setLinks(m_links);
    return added;
}

const std::string &simulated_fleet::addressOf(vm_id vm) const
{
    return m_addresses.at(vm);
}

void simulated_fleet::setLinks(const simulated_links &links)
{
    m_links = links;
    cluster.blockedLinks.clear();
    for (const auto &[from, fromAddress] : m_addresses) {
        for (const auto &[to, toAddress] : m_addresses) {
            if (!sends(links, from) || !receives(links, to) || isAcross(links, from, to)) {
                cluster.blockedLinks.insert({from, to});
            }
        }
    }
}

const simulated_links &simulated_fleet::links() const
{
    return m_links;
}

void simulated_fleet::recordShown(revision shown)
{
    if (m_shown.empty() || shown > m_shown.back().second) {
        m_shown.emplace_back(cluster.now(), shown);
    }
}

vm_id simulated_fleet::confirmedLeader()
{
    const vm_id leading = cluster.leader();
    if (leading.value == 0 || cluster.at(leading).frozen) {
        return {};
    }
    const std::optional<instant> confirmed = leadershipConfirmedAt(cluster.at(leading).state);
    return confirmed && cluster.now() - *confirmed < seconds(1) ? leading : vm_id{};
}

bool simulated_fleet::isWhole()
{
    const vm_id leading = confirmedLeader();
    if (leading.value == 0) {
        return false;
    }
    const replica &state = cluster.at(leading).state;
    return state.membersIndex <= state.commitIndex && std::ranges::all_of(m_addresses, [&](const auto &each) {
               const simulated_vm &node = cluster.at(each.first);
               const bool follows = node.state.leader == leading && isCurrent(node.state, cluster.now());
               return !node.up || (isVoter(state.members, each.first) && follows);
           });
}

revision simulated_fleet::confirmedRevision()
{
    const vm_id leading = confirmedLeader();
    return leading.value == 0 ? revision{} : cluster.at(leading).stateMachine.current.atRevision;
}

/// Checks a new proof of leadership against all that was shown before it, as confirmed reads rely on, and manages the
/// members. A VM does so only once its writes are synced and what they let it apply is applied.
void simulated_fleet::publishProof(vm_id vm)
{
    const simulated_vm &node = cluster.at(vm);
    control_vm_knowledge &known = knowledgeOf(vm);
    const std::optional<instant> asOf = leadershipConfirmedAt(node.state);
    if (asOf && *asOf > m_lastConfirmedAt) {
        if (onConfirmed) {
            onConfirmed(m_lastConfirmation, cluster.now());
        }
        m_lastConfirmedAt = *asOf;
        m_lastConfirmation = cluster.now();
    }
    if (!asOf || *asOf <= known.lastProofAt || node.syncing) {
        return;
    }
    known.lastProofAt = *asOf;
    const auto later = std::ranges::lower_bound(m_shown, *asOf, {}, [](const auto &each) { return each.first; });
    const revision held = node.stateMachine.current.atRevision;
    if (later != m_shown.begin() && std::prev(later)->second > held) {
        throw std::runtime_error("invariant violated: a confirmed read is older than one before it");
    }
    recordShown(held);
    manageMembers(vm);
}

void simulated_fleet::manageMembers(vm_id vm)
{
    const simulated_vm &node = cluster.at(vm);
    control_vm_knowledge &known = knowledgeOf(vm);
    const instant now = cluster.now();
    if (const auto admitted = vmToAdmit(node.state, {known.live, known.addresses}, now)) {
        cluster.post(vm, learner_proposed{0, admitted->id, admitted->replaces});
    }
    if (now < known.nextRemovalAt) {
        return;
    }
    if (const auto lost = memberToRemove(node.state, {known.live, known.addresses}, now)) {
        known.nextRemovalAt = now + minRemovalInterval;
        cluster.post(vm, removal_proposed{0, *lost, true});
        const bool removed = findMember(node.state.members, *lost) == nullptr;
        removedWhileCutOff += removed && cluster.at(*lost).up ? 1 : 0;
    }
}

/// Lets the failure detector of each running VM look at all others, and then looks again after an interval.
void simulated_fleet::detect()
{
    for (const auto &[observer, address] : m_addresses) {
        const simulated_vm &node = cluster.at(observer);
        if (!node.up || node.frozen) {
            continue;
        }
        control_vm_knowledge &known = knowledgeOf(observer);
        bool changed = false;
        for (const auto &[subject, subjectAddress] : m_addresses) {
            changed = (subject != observer && observe(observer, known, subject)) || changed;
        }
        if (!changed) {
            continue;
        }
        known.live.clear();
        for (const auto &[id, observed] : known.others) {
            if (observed.live) {
                known.live.push_back(id);
                known.addresses[id] = m_addresses.at(id);
            }
        }
        if (const auto admitted = vmToAdmit(node.state, {known.live, known.addresses}, cluster.now())) {
            cluster.post(observer, learner_proposed{0, admitted->id, admitted->replaces});
        }
    }
    cluster.after(detectionInterval, [this] { detect(); });
}

/// Updates one VM's view of another. Returns whether the view changed.
bool simulated_fleet::observe(vm_id observer, control_vm_knowledge &known, vm_id subject)
{
    control_vm_knowledge::observation &observed = known.others[subject];
    const bool reachable = canReach(observer, subject);
    if (reachable != observed.reachable) {
        observed.reachable = reachable;
        const std::uint64_t least = reachable ? minReturnDelayMs : minDeathDelayMs;
        const std::uint64_t most = reachable ? maxReturnDelayMs : maxDeathDelayMs;
        observed.due = cluster.now() + milliseconds(least + cluster.random(most - least + 1));
    }
    if (observed.live == reachable || cluster.now() < observed.due) {
        return false;
    }
    observed.live = reachable;
    return true;
}

bool simulated_fleet::canReach(vm_id observer, vm_id subject)
{
    const simulated_vm &node = cluster.at(subject);
    const bool isCut = m_links.cutOff.contains(observer) || m_links.cutOff.contains(subject);
    const bool isBehindSplit = isAcross(m_links, observer, subject) && !m_links.detectorCrossesSplit;
    return node.up && !node.frozen && !isCut && !isBehindSplit;
}

control_vm_knowledge &simulated_fleet::knowledgeOf(vm_id vm)
{
    control_vm_knowledge &known = m_knowledge[vm];
    const std::uint64_t incarnation = cluster.at(vm).incarnation;
    if (known.incarnation != incarnation) {
        known = {};
        known.incarnation = incarnation;
    }
    return known;
}

} // namespace guavafront
