#include "coordination/departures/departure_steps.h"

#include <xxhash.h>

#include <iterator>
#include <string>

namespace guavafront
{

namespace
{

/// Forgets the departures that are no longer passed on, and the deliveries to VMs that aren't live any more.
void forgetDeliveries(departure_table &state, instant now)
{
    for (auto &[to, delivery] : state.deliveries) {
        std::erase_if(delivery.unconfirmed,
                      [&state, now](const auto &each) { return each.second.since + state.limits.retention <= now; });
    }
    std::erase_if(state.deliveries, [&state](const auto &each) {
        const bool isLive = std::ranges::binary_search(state.vms, each.first, {}, &fleet_vm::id);
        return !isLive || each.second.unconfirmed.empty();
    });
}

} // namespace

std::uint64_t departureFingerprint(const departure &what)
{
    std::string text = std::to_string(what.processStartMs);
    text.append(":").append(std::to_string(what.sequence)).append(":");
    text.append(std::to_string(static_cast<unsigned>(what.state))).append(":").append(what.name);
    return XXH64(text.data(), text.size(), 0);
}

departures_confirmed confirmationOf(const departures_passed_on &message)
{
    departures_confirmed confirmation;
    std::ranges::transform(message.departures, std::back_inserter(confirmation.fingerprints), departureFingerprint);
    return confirmation;
}

void deliver(departure_step &context, std::span<const vm_id> to, std::span<const departure> departures)
{
    std::map<std::uint64_t, undelivered_departure> unconfirmed;
    for (const departure &each : departures) {
        unconfirmed.try_emplace(departureFingerprint(each), undelivered_departure{each, context.now});
    }
    if (unconfirmed.empty()) {
        return;
    }
    for (const vm_id each : to) {
        const auto [place, added] = context.state.deliveries.try_emplace(each);
        departure_delivery &delivery = place->second;
        if (added) {
            delivery.pause = context.state.limits.repeatFirst;
            delivery.nextRepeat = context.now + delivery.pause;
        }
        delivery.unconfirmed.insert(unconfirmed.begin(), unconfirmed.end());
    }
    sendParts<departures_passed_on, departure>(context, to, departures);
}

void confirmDelivery(departure_table &state, vm_id from, std::span<const std::uint64_t> fingerprints)
{
    const auto delivery = state.deliveries.find(from);
    if (delivery == state.deliveries.end()) {
        return;
    }
    for (const std::uint64_t each : fingerprints) {
        delivery->second.unconfirmed.erase(each);
    }
    if (delivery->second.unconfirmed.empty()) {
        state.deliveries.erase(delivery);
    }
}

void repeatDeliveries(departure_step &context)
{
    departure_table &state = context.state;
    forgetDeliveries(state, context.now);
    for (auto &[to, delivery] : state.deliveries) {
        if (context.now < delivery.nextRepeat) {
            continue;
        }
        delivery.pause = std::min(delivery.pause * 2, state.limits.repeatLongest);
        delivery.nextRepeat = context.now + delivery.pause;
        std::vector<departure> departures;
        instant since = context.now;
        for (const auto &[fingerprint, waiting] : delivery.unconfirmed) {
            departures.push_back(waiting.what);
            since = std::min(since, waiting.since);
        }
        context.effects.emplace_back(repeat_departures{to, departures.size(), context.now - since});
        sendParts<departures_passed_on, departure>(context, std::span(&to, 1), departures);
    }
}

instant nextRepeat(const departure_table &state)
{
    instant next = instant::max();
    for (const auto &[to, delivery] : state.deliveries) {
        next = std::min(next, delivery.nextRepeat);
    }
    return next;
}

} // namespace guavafront
