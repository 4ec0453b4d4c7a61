#include "departures/departing_fleet.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

using namespace std::chrono_literals;

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
