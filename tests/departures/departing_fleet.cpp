#include "departures/departing_fleet.h"

#include "daemon/fleet/shared_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

constexpr duration heartbeatPeriod = 1s;
constexpr duration stepLength = 10ms;

} // namespace

departing_fleet::departing_fleet(std::uint64_t seed, std::size_t instanceCount, cut_links links)
    : random{seed}
    , cut(links)
{
    memory_fleet &members = spread.membership;
    members.random = {seed + 1};
    members.controlCount = controlCount;
    members.isCut = [this](vm_id from, vm_id to) {
        return isCut(from, to);
    };
    spread.onEffect = [this](vm_id id, const spread_effect &effect) {
        if (const auto *change = std::get_if<entry_changed>(&effect)) {
            receiveEntry(id, change->entry);
        }
    };
    const auto spreadTick = members.onTick;
    members.onTick = [this, spreadTick](memory_fleet::vm &self) {
        spreadTick(self);
        tick(self.state.self.id);
    };
    ids.resize(controlCount + entryCount);
    for (std::size_t slot = 0; slot < ids.size(); ++slot) {
        start(slot, {});
    }
    for (std::size_t number = 0; number < instanceCount; ++number) {
        simulated_instance added;
        added.last = {.instance = {number + 1},
                      .name = "i-" + std::to_string(number),
                      .processStartMs = 1'000,
                      .service = "rutas",
                      .ip = "10.1.0." + std::to_string(number),
                      .port = 80,
                      .dataCentre = memory_fleet::dataCentreOf(number),
                      .lease = 60s};
        added.registrar = number % controlCount;
        added.nextCall = now() + 3s + number * 20ms;
        instances.push_back(added);
    }
    pass(8s);
}

instant departing_fleet::now() const
{
    return spread.membership.now;
}

bool departing_fleet::isControl(std::size_t slot) const
{
    return slot < controlCount;
}

std::size_t departing_fleet::slotOf(vm_id id) const
{
    return static_cast<std::size_t>(std::ranges::find(ids, id) - ids.begin());
}

bool departing_fleet::isIn(std::size_t slot, vm_trouble kind) const
{
    return std::ranges::any_of(
        troubles, [slot, kind](const open_trouble &each) { return each.slot == slot && each.kind == kind; });
}

bool departing_fleet::isCut(vm_id from, vm_id to) const
{
    const std::size_t a = slotOf(from);
    const std::size_t b = slotOf(to);
    return isIn(a, vm_trouble::CutFromAll) || isIn(b, vm_trouble::CutFromAll)
           || (isControl(a) && isIn(b, vm_trouble::CutFromControl))
           || (isControl(b) && isIn(a, vm_trouble::CutFromControl));
}

void departing_fleet::start(std::size_t slot, vm_id id)
{
    ids[slot] = spread.membership.start(slot, id);
    const vm_id self = ids[slot];
    vm_state &added = vms[self];
    added.instances.self = self;
    if (isControl(slot)) {
        added.departures.self = self;
        added.departures.dataCentre = memory_fleet::dataCentreOf(slot);
        added.departures.lastNumber = random();
    }
}

void departing_fleet::pass(duration span)
{
    const instant end = now() + span;
    while (now() < end) {
        spread.membership.now += stepLength;
        spread.membership.deliverDue();
        spread.membership.tickAll();
        for (std::size_t number = 0; number < instances.size(); ++number) {
            if (now() >= instances[number].nextCall) {
                call(number);
            }
        }
        for (std::size_t slot = 0; slot < controlCount; ++slot) {
            const auto control = vms.find(ids[slot]);
            if (control != vms.end() && !isIn(slot, vm_trouble::Frozen)
                && nextWake(control->second.departures) <= now()) {
                runDepartures(ids[slot], departure_time_passed{});
            }
        }
        const auto open = std::partition(troubles.begin(), troubles.end(),
                                         [this](const open_trouble &each) { return each.ends > now(); });
        const std::vector<open_trouble> ended(open, troubles.end());
        troubles.erase(open, troubles.end());
        std::ranges::for_each(ended, [this](const open_trouble &each) { this->end(each); });
        if (!ended.empty()) {
            resend();
        }
        check();
    }
}

void departing_fleet::run(duration span)
{
    const instant calm = now() + span * 2 / 3;
    const instant end = now() + span;
    std::size_t leaving = 0;
    while (now() < calm) {
        pass(100ms);
        drawTroubles();
        if (random.below(12) == 0 && leaving < instances.size()) {
            leave(leaving++, random.below(2) == 0, random.below(controlCount));
        }
    }
    pass(end - now());
}

void departing_fleet::drawTroubles()
{
    const auto troubled = static_cast<std::size_t>(
        std::ranges::count_if(troubles, [this](const open_trouble &each) { return isControl(each.slot); }));
    // Spells of several troubles at once alternate with calm, in which the fleet must comply.
    const bool stormy = now().time_since_epoch() % 20s < 6s;
    if (!stormy || random.below(3) != 0) {
        return;
    }
    const std::size_t slot = random.below(ids.size());
    const bool isOpen = std::ranges::any_of(troubles, [slot](const auto &each) { return each.slot == slot; });
    if (isOpen || (isControl(slot) && troubled >= tolerated)) {
        return;
    }
    const auto kind = static_cast<vm_trouble>(random.below(static_cast<std::uint64_t>(vm_trouble::Count)));
    begin(slot, kind, 200ms + stepLength * random.below(800));
}

void departing_fleet::begin(std::size_t slot, vm_trouble kind, duration length)
{
    if (kind == vm_trouble::Frozen) {
        spread.membership.freeze(ids[slot]);
    } else if (kind == vm_trouble::Restarted) {
        spread.kill(ids[slot]);
        vms.erase(ids[slot]);
    }
    troubles.push_back({.slot = slot, .kind = kind, .ends = now() + length});
}

void departing_fleet::end(const open_trouble &ended)
{
    troubledAt[ended.slot] = now();
    if (ended.kind == vm_trouble::Frozen) {
        spread.membership.thaw(ids[ended.slot]);
    } else if (ended.kind == vm_trouble::Restarted) {
        start(ended.slot, isControl(ended.slot) ? ids[ended.slot] : vm_id{});
    }
}

void departing_fleet::leave(std::size_t instance, bool deregisters, std::size_t slot)
{
    simulated_instance &leaving = instances[instance];
    leaving.last.state = instance_state::Draining;
    leaving.deregisters = deregisters;
    leaving.registrar = slot;
    leaving.nextCall = now();
    leaving.ticket = 0;
}

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
        spread.membership.queue.emplace(now() + 1ms, [this, number, control = ids[slot], ticket = caller.ticket] {
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

std::optional<instance_state> departing_fleet::stateAt(std::size_t slot, std::size_t instance)
{
    const auto found = vms.find(ids[slot]);
    const registered_instance *known =
        found == vms.end() ? nullptr : findInstance(found->second.instances, instances[instance].last.instance);
    return known ? std::optional(known->last.state) : std::nullopt;
}

/// Records the entry VMs that would send requests to an instance later than they may. As on the platform, nothing is
/// asked of a VM while it or any control VM is in trouble, or was within the settle time.
void departing_fleet::check()
{
    const auto isCalm = [this](std::size_t slot) {
        const auto last = troubledAt.find(slot);
        return std::ranges::none_of(troubles, [slot](const auto &each) { return each.slot == slot; })
               && (last == troubledAt.end() || now() - last->second >= settleTime);
    };
    for (std::size_t slot = 0; slot < controlCount; ++slot) {
        if (!isCalm(slot)) {
            return;
        }
    }
    for (std::size_t slot = controlCount; slot < ids.size(); ++slot) {
        for (std::size_t number = 0; number < instances.size() && isCalm(slot); ++number) {
            const std::optional<instant> &acknowledged = instances[number].acknowledgedAt;
            if (acknowledged && now() > *acknowledged + drainTime && stateAt(slot, number) == instance_state::Serving) {
                const std::string &name = instances[number].last.name;
                late.push_back(name + " at slot " + std::to_string(slot) + ", "
                               + std::to_string((now() - *acknowledged) / 1ms) + " ms after its acknowledgement, "
                               + (vms.at(ids[slot]).told.contains(name) ? "told" : "not told"));
            }
        }
    }
}

} // namespace guavafront
