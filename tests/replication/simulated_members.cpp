#include "replication/simulated_cluster.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr duration learnerProposalInterval = std::chrono::milliseconds(300);

} // namespace

vm_id simulated_cluster::replaceVm(vm_id vm)
{
    crash(vm);
    const vm_id replacement{++m_lastVm};
    addVm(replacement, {});
    m_replacements[replacement] = vm;
    return replacement;
}

vm_id simulated_cluster::addVm()
{
    const vm_id added{++m_lastVm};
    addVm(added, {});
    return added;
}

std::vector<vm_id> simulated_cluster::currentVms() const
{
    std::vector<vm_id> ids;
    for (const auto &[id, vm] : m_vms) {
        const bool replaced =
            std::ranges::any_of(m_replacements, [gone = id](const auto &pair) { return pair.second == gone; });
        if (!replaced) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool simulated_cluster::isChangingMembers() const
{
    const vm_id leading = leader();
    if (leading.value == 0) {
        return true;
    }
    const replica &state = m_vms.at(leading).state;
    const bool allVote = std::ranges::all_of(currentVms(), [&state](vm_id vm) { return isVoter(state.members, vm); });
    return state.membersIndex > state.commitIndex || !allVote || state.members.members.size() != m_options.targetVoters;
}

void simulated_cluster::proposeLearners()
{
    const vm_id leading = leader();
    if (leading.value != 0 && !m_vms.at(leading).frozen) {
        for (const vm_id id : currentVms()) {
            const auto replacement = m_replacements.find(id);
            const vm_id replaces = replacement == m_replacements.end() ? vm_id{} : replacement->second;
            const membership &members = m_vms.at(leading).state.members;
            if (findMember(members, id) == nullptr) {
                const bool stillThere = findMember(members, replaces) != nullptr;
                handle(leading, learner_proposed{++m_lastTicket, id, stillThere ? replaces : vm_id{}});
                break;
            }
        }
    }
    after(learnerProposalInterval, [this] { proposeLearners(); });
}

void simulated_cluster::addVm(vm_id vm, const stored_state &disk)
{
    m_vms[vm].disk = disk;
    start(vm);
}

replica_options simulated_cluster::optionsFor(vm_id vm) const
{
    replica_options options = m_options;
    options.self = vm;
    return options;
}

} // namespace guavafront
