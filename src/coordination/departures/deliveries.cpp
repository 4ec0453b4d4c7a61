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

/// Gives a VM repeatFirst to confirm something.
void expectConfirmation(const departure_step &context, departure_delivery &delivery)
{
    delivery.pause = context.state.limits.repeatFirst;
    delivery.nextRepeat = context.now + delivery.pause;
}

/// Numbers the messages that the departures are sent in, in this order and as many in each as fit. A departure that was
/// sent before keeps its number: a confirmation may be for the earlier message.
void noteSent(departure_delivery &delivery, std::span<const std::uint64_t> fingerprints)
{
    for (std::size_t index = 0; index < fingerprints.size(); ++index) {
        delivery.lastMessage += index % maxDeparturesPerMessage == 0 ? 1 : 0;
        std::uint64_t &message = delivery.unconfirmed.at(fingerprints[index]).message;
        message = message == 0 ? delivery.lastMessage : message;
    }
}

/// Sends some of a VM's unconfirmed departures once more, or for the first time if they were held back.
void sendAgain(departure_step &context, vm_id to, departure_delivery &delivery,
               std::span<const std::uint64_t> fingerprints)
{
    if (fingerprints.empty()) {
        return;
    }
    std::vector<departure> departures;
    for (const std::uint64_t each : fingerprints) {
        departures.push_back(delivery.unconfirmed.at(each).what);
    }
    const auto oldest =
        std::ranges::min_element(delivery.unconfirmed, {}, [](const auto &each) { return each.second.since; });
    noteSent(delivery, fingerprints);
    context.effects.emplace_back(repeat_departures{.to = to,
                                                   .departures = departures.size(),
                                                   .unconfirmed = delivery.unconfirmed.size(),
                                                   .waited = context.now - oldest->second.since});
    sendParts<departures_passed_on, departure>(context, std::span(&to, 1), departures);
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
    if (departures.empty()) {
        return;
    }
    std::vector<std::uint64_t> fingerprints;
    std::ranges::transform(departures, std::back_inserter(fingerprints), departureFingerprint);
    std::vector<vm_id> answering;
    for (const vm_id each : to) {
        const auto [place, added] = context.state.deliveries.try_emplace(each);
        departure_delivery &delivery = place->second;
        if (added) {
            expectConfirmation(context, delivery);
        }
        for (std::size_t index = 0; index < departures.size(); ++index) {
            delivery.unconfirmed.try_emplace(fingerprints[index],
                                             undelivered_departure{.what = departures[index], .since = context.now});
        }
        if (!delivery.isProbing) {
            noteSent(delivery, fingerprints);
            answering.push_back(each);
        }
    }
    sendParts<departures_passed_on, departure>(context, answering, departures);
}

void confirmDelivery(departure_step &context, vm_id from, std::span<const std::uint64_t> fingerprints)
{
    const auto found = context.state.deliveries.find(from);
    if (found == context.state.deliveries.end()) {
        return;
    }
    departure_delivery &delivery = found->second;
    std::uint64_t confirmed = 0;
    for (const std::uint64_t each : fingerprints) {
        if (const auto arrived = delivery.unconfirmed.find(each); arrived != delivery.unconfirmed.end()) {
            confirmed = std::max(confirmed, arrived->second.message);
            delivery.unconfirmed.erase(arrived);
        }
    }
    if (delivery.unconfirmed.empty()) {
        context.state.deliveries.erase(found);
        return;
    }
    if (delivery.isProbing || confirmed > 0) {
        delivery.isProbing = false;
        expectConfirmation(context, delivery);
    }
    std::vector<std::uint64_t> missing;
    for (auto &[fingerprint, each] : delivery.unconfirmed) {
        if (each.message <= confirmed) {
            each.message = 0;
            missing.push_back(fingerprint);
        }
    }
    sendAgain(context, from, delivery, missing);
}

void repeatDeliveries(departure_step &context)
{
    forgetDeliveries(context.state, context.now);
    for (auto &[to, delivery] : context.state.deliveries) {
        if (context.now >= delivery.nextRepeat) {
            delivery.isProbing = true;
            delivery.pause = std::min(delivery.pause * 2, context.state.limits.repeatLongest);
            delivery.nextRepeat = context.now + delivery.pause;
            // Once the last one sent is confirmed, those before it that aren't are known to be lost.
            const auto last = std::ranges::max_element(delivery.unconfirmed, {},
                                                       [](const auto &each) { return each.second.message; });
            sendAgain(context, to, delivery, std::span(&last->first, 1));
        }
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
