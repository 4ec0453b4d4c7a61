#pragma once

#include <guavafront/coordination/limits/limiter.h>

#include <span>

namespace guavafront
{

/// Applies a changed view of the members and chooses the owner of each slot anew.
void changeMembers(limiter &state, std::span<const vm_id> members, instant now);

/// Chooses other owners for the slots that an owner has released.
void resign(limiter &state, vm_id owner, const share_release &release, instant now);

/// Lets a VM be chosen again for the slots whose shares it asks for.
void withdrawResignation(limiter &state, vm_id owner, const share_request &request, instant now);

} // namespace guavafront
