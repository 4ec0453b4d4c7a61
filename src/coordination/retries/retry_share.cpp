#include <guavafront/coordination/retries/retry_share.h>

#include "coordination/routing/rendezvous.h"

#include <algorithm>

namespace guavafront
{

namespace
{

/// Number between 0 and 1, below 1, that is spread evenly over VMs.
float positionOf(vm_id self)
{
    constexpr std::uint64_t parts = 1'000;
    constexpr std::uint64_t choice = 1; // Any fixed one: a VM keeps its position.
    return static_cast<float>(rendezvousHash(self.value, choice) % parts) / static_cast<float>(parts);
}

} // namespace

void recordFleetSize(fleet_sizes &state, std::uint32_t vms, instant now)
{
    if (!state.sizes.empty()) {
        state.sizes.back().replacedAt = now;
    }
    std::erase_if(state.sizes, [vms, oldest = now - fleetSizeMemory](const fleet_size &each) {
        return each.vms <= vms || each.replacedAt < oldest;
    });
    state.sizes.push_back({.vms = vms});
}

std::uint32_t largestFleetSize(const fleet_sizes &state, instant now)
{
    const auto largest = std::ranges::find_if(
        state.sizes, [oldest = now - fleetSizeMemory](const fleet_size &each) { return each.replacedAt >= oldest; });
    return largest == state.sizes.end() ? 1 : largest->vms;
}

float retryCapacity(const retry_rule &rule, std::uint32_t vms, vm_id self)
{
    // Positions are spread by chance. The margin is five standard deviations at 60 VMs; with 0.85 the tokens of all VMs
    // exceeded the slack in 1 of 50 fleets of this size.
    constexpr float positionMargin = 0.6F;
    if (vms <= 1) {
        return 1;
    }
    const float part = static_cast<float>(rule.slack) / static_cast<float>(vms);
    if (part >= 1) {
        return part;
    }
    return positionOf(self) < positionMargin * part ? 1.0F : 0.0F;
}

bool maySaveWholePart(const retry_rule &rule, instant runningSince, instant now)
{
    return now - runningSince >= rule.window;
}

std::uint32_t earnedPercent(const retry_rule &rule)
{
    constexpr std::uint32_t earnedTenths = 9;
    constexpr std::uint32_t tenths = 10;
    return rule.percent * earnedTenths / tenths;
}

void setCapacity(retry_budget &budget, float capacity)
{
    budget.capacity = capacity;
    budget.tokens = std::min(budget.tokens, capacity);
}

} // namespace guavafront
