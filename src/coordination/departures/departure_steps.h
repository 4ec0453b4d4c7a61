#pragma once

#include <guavafront/coordination/departures/departures.h>

#include <algorithm>
#include <span>
#include <vector>

namespace guavafront
{

/// State, time and effects of one step.
struct departure_step {
    departure_table &state; ///< The departures.
    instant now; ///< Time of the step.
    std::vector<departure_effect> &effects; ///< Effects so far.
};

/// Appends an effect for each part of the items that fits into a message.
template<class message_type, class item>
void sendParts(departure_step &context, std::span<const vm_id> to, std::span<const item> items)
{
    while (!to.empty() && !items.empty()) {
        const std::span part = items.first(std::min(items.size(), maxDeparturesPerMessage));
        items = items.subspan(part.size());
        context.effects.emplace_back(send_departures{{to.begin(), to.end()}, message_type{{part.begin(), part.end()}}});
    }
}

/// Passes departures on to VMs until they confirm them. VMs that confirm nothing get them once they do again.
void deliver(departure_step &context, std::span<const vm_id> to, std::span<const departure> departures);

/// Notes that a VM has confirmed departures, and sends it those that are known to be lost or were held back.
void confirmDelivery(departure_step &context, vm_id from, std::span<const std::uint64_t> fingerprints);

/// Sends one departure to each VM that has confirmed nothing in time. Forgets the deliveries to VMs that aren't live
/// any more, and those that are older than the retention.
void repeatDeliveries(departure_step &context);

/// When repeatDeliveries() is due; the end of time if it isn't.
instant nextRepeat(const departure_table &state);

} // namespace guavafront
