#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// Selects the instances that a VM connects to, at most limit of them, and returns them in the given order. They are
/// those with the highest rendezvous hash (Thaler and Ravishankar, 1998) of VM and instance, so that the removal of one
/// instance replaces only that one.
std::vector<instance_id> selectSubset(vm_id self, std::span<const instance_id> instances, std::uint32_t limit);

} // namespace guavafront
