#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <span>
#include <vector>

namespace guavafront
{

/// The instances that a VM connects to, at most limit of them, in their given order: those with the highest
/// rendezvous hash (Thaler and Ravishankar, 1998) of VM and instance. When one leaves, only one other takes its place.
std::vector<instance_id> selectSubset(vm_id self, std::span<const instance_id> instances, std::uint32_t limit);

} // namespace guavafront
