// The part of departing_fleet that handles the calls of instances and the messages between VMs.
#include "departures/departing_fleet.h"

#include "daemon/fleet/shared_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafront
{

namespace
{

constexpr duration heartbeatPeriod = std::chrono::seconds(1);

} // namespace

void departing_fleet::call(std::size_t number)
{
    simulated_instance &caller = instances[number];
    if (caller.acknowledgedAt) {
        return;
    }
    if (caller.ticket != 0) { // No answer came in time.
        caller.ticket = 0;
        caller.registrar = (caller.registrar + 1) % controlCount;
    }
    const std::size_t slot = caller.registrar;
    ++caller.last.sequence;
    caller.ticket = ++lastTicket;
    caller.nextCall = now() + callTime;
    if (vms.contains(ids[slot]) && !isIn(slot, vm_trouble::CutFromAll)) {
        spread.membership.queue.emplace(
            now() + std::chrono::milliseconds(1), [this, number, control = ids[slot], ticket = caller.ticket] {
                spread.membership.arrive(control, [this, number, control, ticket](memory_fleet::vm &) {
                    if (instances[number].ticket == ticket) {
                        heartbeat(number, control);
                    }
                });
            });
    }
}

void departing_fleet::heartbeat(std::size_t number, vm_id control)
{
    simulated_instance &caller = instances[number];
    registry &known = vms.at(control).instances;
    const bool departs = caller.last.state == instance_state::Draining;
    if (departs && caller.deregisters) {
        if (const auto last = deregister(known, caller.last.name, caller.last.processStartMs, now())) {
            publish(control, *last);
        }
    } else {
        if (announce(known, caller.last, now()) == registry_change::Changed) {
            publish(control, findInstance(known, caller.last.instance)->last);
        }
    }
    if (!departs) {
        answer(caller.ticket, true);
        return;
    }
    departure told{.name = caller.last.name, .processStartMs = caller.last.processStartMs};
    if (!caller.deregisters) {
        told.sequence = caller.last.sequence;
        told.state = instance_state::Draining;
    }
    runDepartures(control, departure_told{caller.ticket, told});
}

void departing_fleet::answer(std::uint64_t ticket, bool held)
{
    const auto caller = std::ranges::find(instances, ticket, &simulated_instance::ticket);
    if (ticket == 0 || caller == instances.end()) {
        return;
    }
    caller->ticket = 0;
    if (!held) {
        caller->registrar = (caller->registrar + 1) % controlCount;
        caller->nextCall = now();
        return;
    }
    caller->nextCall = now() + heartbeatPeriod;
    if (caller->last.state == instance_state::Draining) {
        caller->acknowledgedAt = now();
    }
}

/// Publishes as registry_task and the entry task do.
void departing_fleet::publish(vm_id id, const announcement &published)
{
    if (published.state < instance_state::Draining) {
        for (const fleet_vm &each : vms.at(id).seen) {
            send(id, each.id, [this, id, to = each.id, published](vm_state &) { report(to, id, published); });
        }
    }
    spread.react(id, publicationOf(publish_instance{published}));
}

void departing_fleet::send(vm_id from, vm_id to, const std::function<void(vm_state &)> &action)
{
    if (isCut(from, to) && cut == cut_links::KeepMessages) {
        onCutLinks.push_back({from, to, action});
        return;
    }
    spread.membership.deliver(from, to, [this, to, action](memory_fleet::vm & /*target*/) { action(vms.at(to)); });
}

/// Sends the messages whose links aren't cut any more.
void departing_fleet::resend()
{
    for (const held_message &each : std::exchange(onCutLinks, {})) {
        if (vms.contains(each.from) && vms.contains(each.to)) {
            send(each.from, each.to, each.action);
        }
    }
}

void departing_fleet::receiveEntry(vm_id id, const spread_entry &entry)
{
    if (entry.key.topic != spread_topic::Instances || !vms.contains(id)) {
        return;
    }
    const std::optional<entry_event> event = eventOf(entry);
    if (const auto *reported = std::get_if<instance_reported>(&*event)) {
        report(id, reported->registrar, reported->announced);
    } else if (const auto *withdrawn = std::get_if<instance_withdrawn>(&*event)) {
        forget(vms.at(id).instances, withdrawn->registrar, withdrawn->instance);
    }
}

void departing_fleet::report(vm_id id, vm_id registrar, const announcement &reported)
{
    registry &known = vms.at(id).instances;
    const registry_change change = learn(known, registrar, reported, now());
    if (change == registry_change::HandedOver) {
        spread.react(id, publicationOf(withdraw_instance{reported.instance}));
    } else if (change == registry_change::Changed) {
        publish(id, findInstance(known, reported.instance)->last);
    }
}

void departing_fleet::runDepartures(vm_id id, const departure_event &event)
{
    std::vector<departure_effect> effects;
    step(vms.at(id).departures, event, now(), effects);
    for (const departure_effect &effect : effects) {
        if (const auto *answered = std::get_if<answer_departure>(&effect)) {
            answer(answered->ticket, answered->held);
        } else if (const auto *applied = std::get_if<apply_departure>(&effect)) {
            if (const auto last = depart(vms.at(id).instances, applied->what, now()).toPublish) {
                spread.react(id, publicationOf(publish_instance{*last}));
            }
        } else if (const auto *sent = std::get_if<send_departures>(&effect)) {
            for (const vm_id to : sent->to) {
                send(id, to, [this, id, to, message = sent->message](vm_state &receiver) {
                    if (isControl(slotOf(to))) {
                        runDepartures(to, departure_message_received{id, message});
                    } else if (const auto *passedOn = std::get_if<departures_passed_on>(&message)) {
                        send(to, id, [this, id, to, receipt = confirmationOf(*passedOn)](vm_state &) {
                            runDepartures(id, departure_message_received{to, receipt});
                        });
                        for (const departure &each : passedOn->departures) {
                            receiver.told.insert(each.name);
                            depart(receiver.instances, each, now());
                        }
                    }
                });
            }
        }
    }
}

void departing_fleet::tick(vm_id id)
{
    vm_state &self = vms.at(id);
    updateView(id, self);
    if (!isControl(slotOf(id))) {
        query(id, self);
    }
    for (const registered_instance &each : expire(self.instances, now())) {
        if (each.registrar == id) {
            spread.react(id, publicationOf(withdraw_instance{each.last.instance}));
        }
    }
}

void departing_fleet::updateView(vm_id id, vm_state &self)
{
    std::vector<fleet_vm> seen;
    for (const member_record &each : liveMembers(spread.membership.vms.at(id).state)) {
        if (each.id != id) {
            seen.push_back(
                {.id = each.id, .dataCentre = each.dataCentre, .isControl = (each.roles & ControlRole) != 0});
        }
    }
    std::ranges::sort(seen, {}, &fleet_vm::id);
    if (std::ranges::equal(seen, self.seen, {}, &fleet_vm::id, &fleet_vm::id)) {
        return;
    }
    const auto contains = [](const std::vector<fleet_vm> &view, vm_id vm) {
        return std::ranges::find(view, vm, &fleet_vm::id) != view.end();
    };
    for (const fleet_vm &each : self.seen) {
        if (!contains(seen, each.id)) {
            onRegistrarLost(self.instances, each.id, now());
        }
    }
    for (const fleet_vm &each : seen) {
        if (!contains(self.seen, each.id)) {
            onRegistrarReachable(self.instances, each.id);
        }
    }
    self.seen = seen;
    if (isControl(slotOf(id))) {
        departure_voters_changed voters{{ids.begin(), ids.begin() + controlCount}};
        std::ranges::sort(voters.voters);
        runDepartures(id, voters);
        runDepartures(id, departure_vms_changed{std::move(seen)});
    }
}

/// Asks two control VMs, its own data centre's first, for the instances that this VM lacks.
void departing_fleet::query(vm_id id, vm_state &self)
{
    if (!takeDueQuery(self.queries, now())) {
        return;
    }
    std::vector<fleet_vm> hubs;
    std::ranges::copy_if(self.seen, std::back_inserter(hubs), &fleet_vm::isControl);
    std::stable_partition(
        hubs.begin(), hubs.end(),
        [home = memory_fleet::dataCentreOf(slotOf(id))](const fleet_vm &each) { return each.dataCentre == home; });
    hubs.resize(std::min<std::size_t>(hubs.size(), 2));
    const std::uint64_t fingerprint = registryFingerprint(self.instances);
    for (const fleet_vm &hub : hubs) {
        send(id, hub.id, [this, id, hub, fingerprint](vm_state &asked) {
            for (const instance_record &each : instancesForCatchUp(asked.instances, fingerprint)) {
                send(hub.id, id, [this, id, each](vm_state &) { report(id, each.registrar, each.last); });
            }
        });
    }
}

} // namespace guavafront
