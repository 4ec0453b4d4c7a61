#pragma once

#include "spread/spread_fleet.h"

#include <guavafront/coordination/departures/departures.h>
#include <guavafront/coordination/entry/entry_event.h>
#include <guavafront/coordination/registry/catch_up.h>
#include <guavafront/coordination/registry/registry.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavafront
{

/// How a VM of the simulated fleet is disturbed.
enum class vm_trouble : std::uint8_t {
    Frozen, ///< Stands still; messages to it wait.
    CutFromControl, ///< Messages between it and the control VMs are lost.
    CutFromAll, ///< Messages between it and all VMs and instances are lost.
    Restarted, ///< Loses its memory and is away until the end of the trouble.
    Count, ///< Number of kinds.
};

/// What becomes of messages about instances on a link that is cut. Links between VMs carry on after a cut, but forget
/// their messages when it is long or they are many.
enum class cut_links : std::uint8_t {
    KeepMessages, ///< They arrive after the cut.
    LoseMessages, ///< They are lost.
};

/// An upstream instance of the simulated fleet.
struct simulated_instance {
    announcement last; ///< What it announces next.
    std::size_t registrar = 0; ///< Slot of the control VM that it calls next.
    instant nextCall{}; ///< When it calls.
    bool deregisters = false; ///< It deregisters, rather than saying that it drains.
    std::uint64_t ticket = 0; ///< Call that awaits an answer; 0 while there is none.
    std::optional<instant> acknowledgedAt; ///< When its departure was acknowledged.
};

/// Control and entry VMs that keep registries and pass departures on, with the membership and the spread map between
/// them, before instances that announce themselves and leave.
struct departing_fleet {
    static constexpr duration drainTime = std::chrono::seconds(2); ///< Bound from the acknowledgement on.
    static constexpr duration settleTime = std::chrono::seconds(3); ///< VMs must comply so long after a trouble.
    static constexpr duration callTime = std::chrono::seconds(1); ///< An instance waits so long for an answer.
    static constexpr std::size_t controlCount = 11; ///< Control VMs, in the first slots.
    static constexpr std::size_t entryCount = 12; ///< Entry VMs.
    static constexpr std::size_t tolerated = 3; ///< Control VMs that are in trouble at once, at most.

    /// What a VM keeps beside its membership and its spread map.
    struct vm_state {
        registry instances; ///< Known instances.
        departure_table departures; ///< Departures; control VMs only.
        catch_up queries; ///< Queries for instances; entry VMs only.
        std::vector<fleet_vm> seen; ///< Other live VMs, ordered by id.
        std::set<std::string> told; ///< Names of the instances whose departure it was told.
    };

    /// A trouble that hasn't ended.
    struct open_trouble {
        std::size_t slot = 0; ///< The VM's slot.
        vm_trouble kind = vm_trouble::Frozen; ///< What happens to it.
        instant ends{}; ///< When it ends.
    };

    /// A message that waits for the end of a cut.
    struct held_message {
        vm_id from; ///< Its sender.
        vm_id to; ///< Its receiver.
        std::function<void(vm_state &)> action; ///< What it does there.
    };

    spread_fleet spread; ///< Membership and spread map of all VMs.
    std::vector<vm_id> ids; ///< Present VM of each slot.
    std::map<vm_id, vm_state> vms; ///< States of the running VMs.
    std::vector<simulated_instance> instances; ///< The instances.
    std::vector<open_trouble> troubles; ///< Troubles that haven't ended.
    std::map<std::size_t, instant> troubledAt; ///< End of the last trouble of each slot.
    std::vector<std::string> late; ///< Departed instances that calm entry VMs still take for serving.
    random_source random; ///< Draws troubles and departures.
    cut_links cut = cut_links::KeepMessages; ///< What becomes of messages on cut links.
    std::uint64_t lastTicket = 0; ///< Ticket of the last call.
    std::vector<held_message> onCutLinks; ///< Messages on links that are cut, in order.

    /// Starts the VMs and the instances, and lets them find each other.
    departing_fleet(std::uint64_t seed, std::size_t instanceCount, cut_links links);
    departing_fleet(const departing_fleet &) = delete;
    departing_fleet &operator=(const departing_fleet &) = delete;

    /// Advances the time, with troubles and departures drawn at random until the last third of the span.
    void run(duration span);

    /// Advances the time by one step of the simulation.
    void pass(duration span);

    /// Begins a trouble of a VM.
    void begin(std::size_t slot, vm_trouble kind, duration length);

    /// Lets an instance leave by its next call, at the control VM of the slot.
    void leave(std::size_t instance, bool deregisters, std::size_t slot);

    /// State in which the entry VM of the slot knows an instance; nothing if it doesn't.
    std::optional<instance_state> stateAt(std::size_t slot, std::size_t instance);

private:
    instant now() const;
    bool isControl(std::size_t slot) const;
    std::size_t slotOf(vm_id id) const;
    bool isIn(std::size_t slot, vm_trouble kind) const;
    bool isCut(vm_id from, vm_id to) const;
    void start(std::size_t slot, vm_id id);
    void end(const open_trouble &ended);
    void drawTroubles();
    void tick(vm_id id);
    void updateView(vm_id id, vm_state &self);
    void send(vm_id from, vm_id to, const std::function<void(vm_state &)> &action);
    void resend();
    void runDepartures(vm_id id, const departure_event &event);
    void publish(vm_id id, const announcement &published);
    void receiveEntry(vm_id id, const spread_entry &entry);
    void report(vm_id id, vm_id registrar, const announcement &reported);
    void call(std::size_t number);
    void heartbeat(std::size_t number, vm_id control);
    void answer(std::uint64_t ticket, bool held);
    void query(vm_id id, vm_state &self);
    void check();
};

} // namespace guavafront
