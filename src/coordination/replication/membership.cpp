#include <guavafront/coordination/replication/membership.h>

#include <algorithm>

namespace guavafront
{

const member *findMember(const membership &members, vm_id id)
{
    const auto found = std::ranges::lower_bound(members.members, id, {}, &member::id);
    return found == members.members.end() || found->id != id ? nullptr : &*found;
}

bool isVoter(const membership &members, vm_id id)
{
    const member *found = findMember(members, id);
    return found != nullptr && found->role == voting_role::Voter;
}

std::size_t voterCount(const membership &members)
{
    return static_cast<std::size_t>(std::ranges::count(members.members, voting_role::Voter, &member::role));
}

std::size_t quorumSize(const membership &members)
{
    return voterCount(members) / 2 + 1;
}

bool isQuorum(const membership &members, std::span<const vm_id> ids)
{
    const auto votes = std::ranges::count_if(ids, [&members](vm_id id) { return isVoter(members, id); });
    return static_cast<std::size_t>(votes) >= quorumSize(members);
}

membership withMember(const membership &members, const member &added)
{
    membership changed = members;
    std::erase_if(changed.members, [&added](const member &each) { return each.id == added.id; });
    changed.members.insert(std::ranges::lower_bound(changed.members, added.id, {}, &member::id), added);
    return changed;
}

membership withoutMember(const membership &members, vm_id id)
{
    membership changed = members;
    std::erase_if(changed.members, [id](const member &each) { return each.id == id; });
    for (member &each : changed.members) {
        each.replaces = each.replaces == id ? vm_id{} : each.replaces;
    }
    return changed;
}

} // namespace guavafront
