#include "coordination/departures/departure_steps.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <span>
#include <utility>

namespace guavafront
{

namespace
{

bool isSameProcess(const departure &a, const departure &b)
{
    return a.name == b.name && a.processStartMs == b.processStartMs;
}

/// Whether what is known covers the told departure, so that it needn't be passed on.
bool covers(const departure_table &state, const known_departure &known, const departure &told, instant now)
{
    if (!isSameProcess(known.what, told)) {
        return false;
    }
    const bool lately = now - known.learnedAt < state.limits.repeatTime;
    // Without its start, the word may be that of a later process of the same name.
    const bool isFinal = known.what.state == instance_state::Leaving && told.processStartMs != 0;
    return isFinal || (known.what.state >= told.state && lately);
}

known_departure *findKnown(departure_table &state, const departure &told, instant now)
{
    const auto found =
        std::ranges::find_if(state.known, [&](const known_departure &each) { return covers(state, each, told, now); });
    return found == state.known.end() ? nullptr : &*found;
}

void sendSoon(departure_step &context)
{
    context.state.gatheredAt = std::min(context.state.gatheredAt, context.now + context.state.limits.gatherTime);
}

/// Records a departure. One that is new applies here and is passed on.
known_departure &learn(departure_step &context, const departure &told)
{
    if (known_departure *known = findKnown(context.state, told, context.now)) {
        return *known;
    }
    std::erase_if(context.state.known, [&told](const known_departure &each) { return isSameProcess(each.what, told); });
    if (context.state.known.size() >= context.state.limits.maxKnown) {
        context.state.known.pop_front();
    }
    context.state.known.push_back({.what = told, .learnedAt = context.now});
    context.state.unpassed.push_back(told);
    context.effects.emplace_back(apply_departure{told});
    sendSoon(context);
    return context.state.known.back();
}

/// VMs whose majority must hold a departure: the voters or, on a VM that doesn't know them, all control VMs.
std::vector<vm_id> electorate(const departure_table &state)
{
    if (!state.voters.empty()) {
        return state.voters;
    }
    std::vector<vm_id> controls{state.self};
    for (const fleet_vm &each : state.vms) {
        if (each.isControl) {
            controls.push_back(each.id);
        }
    }
    return controls;
}

std::size_t countHolders(const departure_table &state, std::span<const vm_id> holders)
{
    const std::vector<vm_id> counted = electorate(state);
    return static_cast<std::size_t>(std::ranges::count_if(
        holders, [&counted](vm_id each) { return std::ranges::find(counted, each) != counted.end(); }));
}

/// Whether enough control VMs are within reach to hold a departure.
bool canBeHeld(const departure_table &state)
{
    std::vector<vm_id> reached{state.self};
    for (const fleet_vm &each : state.vms) {
        reached.push_back(each.id);
    }
    return countHolders(state, reached) >= holdersNeeded(state);
}

void answerAll(departure_step &context, const pending_departure &ended, bool held)
{
    for (const std::uint64_t ticket : ended.tickets) {
        context.effects.emplace_back(answer_departure{.ticket = ticket,
                                                      .held = held,
                                                      .what = ended.what,
                                                      .holders = countHolders(context.state, ended.holders),
                                                      .waited = context.now - ended.toldAt});
    }
}

/// Acknowledges the departure if enough VMs hold it. Returns whether they do.
bool acknowledgeIfHeld(departure_step &context, const pending_departure &waiting)
{
    if (countHolders(context.state, waiting.holders) < holdersNeeded(context.state)) {
        return false;
    }
    if (known_departure *known = findKnown(context.state, waiting.what, context.now)) {
        known->held = true;
    }
    answerAll(context, waiting, true);
    return true;
}

void handle(departure_step &context, const departure_told &event)
{
    departure_table &state = context.state;
    known_departure &known = learn(context, event.what);
    pending_departure waiting{
        .what = event.what, .tickets = {event.ticket}, .holders = {state.self}, .toldAt = context.now};
    if (known.held) {
        answerAll(context, waiting, true);
        return;
    }
    if (acknowledgeIfHeld(context, waiting)) {
        return;
    }
    if (!canBeHeld(state)) {
        answerAll(context, waiting, false);
        return;
    }
    for (auto &[number, each] : state.pending) {
        if (!each.answered && isSameProcess(each.what, event.what) && each.what.state == event.what.state) {
            each.tickets.push_back(event.ticket);
            return;
        }
    }
    state.pending.emplace(++state.lastNumber, std::move(waiting));
    state.unsent.push_back(state.lastNumber);
    sendSoon(context);
}

void receive(departure_step &context, vm_id from, const departures_to_hold &message)
{
    for (const numbered_departure &each : message.departures) {
        learn(context, each.what);
        context.state.receipts[from].push_back(each.number);
    }
    sendSoon(context);
}

void receive(departure_step &context, vm_id from, const departures_held &message)
{
    for (const std::uint64_t number : message.numbers) {
        const auto found = context.state.pending.find(number);
        if (found == context.state.pending.end()
            || std::ranges::find(found->second.holders, from) != found->second.holders.end()) {
            continue;
        }
        found->second.holders.push_back(from);
        found->second.answered = found->second.answered || acknowledgeIfHeld(context, found->second);
    }
}

void receive(departure_step &context, vm_id from, const departures_passed_on &message)
{
    for (const departure &each : message.departures) {
        learn(context, each);
    }
    context.effects.emplace_back(send_departures{{from}, confirmationOf(message)});
}

void receive(departure_step &context, vm_id from, const departures_confirmed &message)
{
    confirmDelivery(context, from, message.fingerprints);
}

void handle(departure_step &context, const departure_message_received &event)
{
    std::visit([&](const auto &message) { receive(context, event.from, message); }, event.message);
}

void handle(departure_step &context, const departure_voters_changed &event)
{
    context.state.voters = event.voters;
}

/// Finds the VMs that have this one as a home by the present view, ordered by id.
std::vector<vm_id> findReceivers(const departure_table &state)
{
    const fleet_vm self{.id = state.self, .dataCentre = state.dataCentre, .isControl = true};
    std::vector<vm_id> receivers;
    for (std::size_t place = 0; place < state.limits.homes.homes; ++place) {
        std::ranges::copy(receiversOf(self, state.vms, state.limits.homes, place), std::back_inserter(receivers));
    }
    std::ranges::sort(receivers);
    return receivers;
}

void handle(departure_step &context, const departure_vms_changed &event)
{
    departure_table &state = context.state;
    state.vms = event.vms;
    std::vector<vm_id> receivers = findReceivers(state);
    std::vector<vm_id> added = std::exchange(state.newReceivers, {});
    std::ranges::set_difference(receivers, state.receivers, std::back_inserter(added));
    std::ranges::sort(added);
    added.erase(std::unique(added.begin(), added.end()), added.end());
    std::ranges::set_intersection(added, receivers, std::back_inserter(state.newReceivers));
    state.receivers = std::move(receivers);
    if (!state.newReceivers.empty() && !state.known.empty()) {
        sendSoon(context);
    }
}

void sendToHolders(departure_step &context)
{
    std::vector<numbered_departure> departures;
    for (const std::uint64_t number : std::exchange(context.state.unsent, {})) {
        if (const auto found = context.state.pending.find(number); found != context.state.pending.end()) {
            departures.push_back({number, found->second.what});
        }
    }
    std::vector<vm_id> controls;
    for (const fleet_vm &each : context.state.vms) {
        if (each.isControl) {
            controls.push_back(each.id);
        }
    }
    sendParts<departures_to_hold, numbered_departure>(context, controls, departures);
}

void sendReceipts(departure_step &context)
{
    for (const auto &[to, numbers] : std::exchange(context.state.receipts, {})) {
        sendParts<departures_held, std::uint64_t>(context, std::span(&to, 1), numbers);
    }
}

/// Passes new departures on to the receivers, and all known ones to new receivers.
void passOn(departure_step &context)
{
    departure_table &state = context.state;
    const std::vector<vm_id> fresh = std::exchange(state.newReceivers, {});
    std::vector<vm_id> settled;
    std::ranges::copy_if(state.receivers, std::back_inserter(settled),
                         [&fresh](vm_id each) { return std::ranges::find(fresh, each) == fresh.end(); });
    deliver(context, settled, std::exchange(state.unpassed, {}));
    std::vector<departure> known;
    std::ranges::transform(state.known, std::back_inserter(known), &known_departure::what);
    deliver(context, fresh, known);
}

void sendGathered(departure_step &context)
{
    context.state.gatheredAt = instant::max();
    sendReceipts(context);
    sendToHolders(context);
    passOn(context);
}

std::vector<fleet_vm> controlVms(const departure_table &state)
{
    std::vector<fleet_vm> controls{{.id = state.self, .dataCentre = state.dataCentre, .isControl = true}};
    std::ranges::copy_if(state.vms, std::back_inserter(controls), &fleet_vm::isControl);
    return controls;
}

/// Finds the control VMs that aren't known to hold the departure, ordered by id.
std::vector<vm_id> findSilent(const departure_table &state, const pending_departure &waiting)
{
    std::vector<vm_id> silent;
    for (const fleet_vm &each : state.vms) {
        if (each.isControl && std::ranges::find(waiting.holders, each.id) == waiting.holders.end()) {
            silent.push_back(each.id);
        }
    }
    return silent;
}

/// Finds the VMs all of whose homes are among the silent control VMs, ordered by id.
std::vector<vm_id> findUncovered(const departure_table &state, std::span<const vm_id> silent)
{
    const std::vector<fleet_vm> controls = controlVms(state);
    const auto isSilent = [silent](vm_id home) {
        return std::ranges::find(silent, home) != silent.end();
    };
    std::vector<vm_id> uncovered;
    for (const fleet_vm &each : state.vms) {
        if (!each.isControl && std::ranges::all_of(homesOf(each, controls, state.limits.homes), isSilent)) {
            uncovered.push_back(each.id);
        }
    }
    return uncovered;
}

/// Passes departures on in place of the homes that haven't confirmed them in time.
void coverSilentHomes(departure_step &context)
{
    departure_table &state = context.state;
    std::map<std::vector<vm_id>, std::vector<departure>> bySilent; // Few VMs are silent, most often none.
    for (auto &[number, each] : state.pending) {
        if (each.covered || context.now < each.toldAt + state.limits.receiptTime) {
            continue;
        }
        each.covered = true;
        if (std::vector<vm_id> silent = findSilent(state, each); !silent.empty()) {
            bySilent[std::move(silent)].push_back(each.what);
        }
    }
    for (const auto &[silent, departures] : bySilent) {
        const std::vector<vm_id> receivers = findUncovered(state, silent);
        if (!receivers.empty()) {
            context.effects.emplace_back(cover_homes{receivers, silent, departures.size()});
            deliver(context, receivers, departures);
        }
    }
}

/// Refuses the departures that too few VMs hold in time, and forgets those that need nothing more.
void expirePending(departure_step &context)
{
    for (auto &[number, waiting] : context.state.pending) {
        if (!waiting.answered && context.now >= waiting.toldAt + context.state.limits.answerTime) {
            answerAll(context, waiting, false);
            waiting.answered = true;
        }
    }
    std::erase_if(context.state.pending, [](const auto &each) { return each.second.answered && each.second.covered; });
}

void handle(departure_step &context, const departure_time_passed & /*event*/)
{
    if (context.now >= context.state.gatheredAt) {
        sendGathered(context);
    }
    coverSilentHomes(context);
    repeatDeliveries(context);
    expirePending(context);
    std::erase_if(context.state.known, [&context](const known_departure &each) {
        return each.learnedAt + context.state.limits.retention <= context.now;
    });
}

} // namespace

void step(departure_table &state, const departure_event &event, instant now, std::vector<departure_effect> &effects)
{
    departure_step context{.state = state, .now = now, .effects = effects};
    std::visit([&context](const auto &each) { handle(context, each); }, event);
}

instant nextWake(const departure_table &state)
{
    instant next = std::min(state.gatheredAt, nextRepeat(state));
    for (const auto &[number, each] : state.pending) {
        next = std::min(next, each.toldAt + (each.covered ? state.limits.answerTime : state.limits.receiptTime));
    }
    return next;
}

std::size_t holdersNeeded(const departure_table &state)
{
    // A VM that doesn't know the voters may be alone in its view, and must not count as a majority then.
    const std::size_t least = state.voters.empty() ? 2 : 1;
    return std::max(least, electorate(state).size() / 2 + 1);
}

} // namespace guavafront
