#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// A VM that control VMs pass news on to.
struct fleet_vm {
    vm_id id; ///< The VM.
    std::string dataCentre; ///< Data centre that it runs in.
    bool isControl = false; ///< Whether it passes news on itself.
};

/// How many control VMs pass news on to each VM.
struct home_rule {
    std::size_t homes = 2; ///< Control VMs for each VM.
    std::size_t nearHomes = 1; ///< Those of its homes that are in its own data centre, as far as there are any; the
                               ///< others are anywhere.
};

/// Homes of a VM: the control VMs that pass news on to it, in order. All VMs with the same view get the same result,
/// and a change of the view moves few VMs to other homes. A control VM isn't a home of itself.
std::vector<vm_id> homesOf(const fleet_vm &receiver, std::span<const fleet_vm> controls, const home_rule &rule);

/// The VMs among others that have self as a home in the given place of the order; self counts as a control VM.
std::vector<vm_id> receiversOf(const fleet_vm &self, std::span<const fleet_vm> others, const home_rule &rule,
                               std::size_t place);

} // namespace guavafront
