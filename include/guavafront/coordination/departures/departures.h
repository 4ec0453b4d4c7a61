#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/homes/homes.h>
#include <guavafront/coordination/registry/departure.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Times of the departures at a control VM.
struct departure_limits {
    /// A departure that isn't held by enough VMs by then is refused. Less than the second for which instances wait.
    duration answerTime = std::chrono::milliseconds(800);
    /// Time in which departures are gathered before they are sent together.
    duration gatherTime = std::chrono::milliseconds(20);
    /// A control VM that hasn't confirmed a departure by then is taken to be held up: the VM that was told it passes it
    /// on in its place.
    duration receiptTime = std::chrono::milliseconds(200);
    /// A VM that has confirmed nothing for this time is sent a single departure, then again after twice as long each
    /// time. Two of them fit into the two seconds for which instances go on taking requests.
    duration repeatFirst = std::chrono::milliseconds(400);
    /// Longest time between two of them, so that a VM that comes back is told within seconds.
    duration repeatLongest = std::chrono::seconds(2);
    /// Time for which a departure is passed on to VMs that come within reach; as long as an announcement's lease.
    duration retention = std::chrono::seconds(60);
    /// Time in which the same state of the same process isn't passed on again. Draining instances repeat their word.
    duration repeatTime = std::chrono::seconds(10);
    /// Largest number of departures kept; beyond, the oldest is forgotten.
    std::size_t maxKnown = 4'096;
    /// Control VMs that pass departures on to each VM: two, so that one may be lost, and in two data centres.
    home_rule homes{.homes = 2, .nearHomes = 1};
};

/// A departure as this control VM knows it.
struct known_departure {
    departure what; ///< The departure.
    instant learnedAt{}; ///< When this VM first heard of it.
    bool held = false; ///< Enough control VMs are known to hold it.
};

/// A departure that instances told this VM, while receipts of other control VMs are awaited.
struct pending_departure {
    departure what; ///< The departure.
    std::vector<std::uint64_t> tickets; ///< Calls that wait for the acknowledgement.
    std::vector<vm_id> holders; ///< VMs known to hold the departure, this one included.
    instant toldAt{}; ///< When the first of the calls came.
    bool answered = false; ///< The calls are answered.
    bool covered = false; ///< It was passed on in place of the homes that hadn't confirmed it.
};

/// A departure that was passed on to a VM.
struct undelivered_departure {
    departure what; ///< The departure.
    instant since{}; ///< When it was first to be passed on to the VM.
    std::uint64_t message = 0; ///< Number of the first message to the VM that had it and isn't known to be lost; 0 if
                               ///< none had.
};

/// Departures that a VM hasn't confirmed. Links keep what they send to a VM that is cut off and send it again later, so
/// that a VM that confirms nothing is sent no more than one departure now and then. Messages arrive in the order in
/// which they were sent, and are confirmed whole: what is in a confirmed one, or in one before it, and isn't confirmed
/// is lost.
struct departure_delivery {
    std::map<std::uint64_t, undelivered_departure> unconfirmed; ///< The departures, by fingerprint.
    std::uint64_t lastMessage = 0; ///< Number of the last message.
    bool isProbing = false; ///< The VM has confirmed nothing for repeatFirst.
    duration pause{}; ///< Time from the last to the next repetition.
    instant nextRepeat{}; ///< When a departure is sent again.
};

/// Departures at a control VM. One that an instance tells this VM is acknowledged once a majority of the voting control
/// VMs hold it, so that the loss of any minority loses no acknowledged departure. Each control VM that hears of a
/// departure passes it on to the VMs that have it as a home, until they confirm it. VMs none of whose homes confirms it
/// in time are told by the control VM that the instance called.
struct departure_table {
    vm_id self; ///< This VM.
    std::string dataCentre; ///< Data centre of this VM.
    departure_limits limits; ///< Times and counts.
    std::vector<vm_id> voters; ///< Voting control VMs; empty while this VM isn't a member of their cluster.
    std::vector<fleet_vm> vms; ///< Other live VMs, ordered by id.
    std::vector<vm_id> receivers; ///< VMs that have this one as a home, ordered by id.
    std::deque<known_departure> known; ///< Departures within the retention, oldest first.
    std::map<std::uint64_t, pending_departure> pending; ///< Departures whose receipts are awaited, by number.
    std::uint64_t lastNumber = 0; ///< Number of the last pending departure. It begins at random, so that receipts for
                                  ///< an earlier life of this VM match none.
    std::vector<std::uint64_t> unsent; ///< Numbers of pending departures that the other control VMs haven't been sent.
    std::vector<departure> unpassed; ///< Departures that haven't been passed on to the receivers.
    std::map<vm_id, std::vector<std::uint64_t>> receipts; ///< Numbers to confirm, by the VM that sent them.
    std::vector<vm_id> newReceivers; ///< Receivers that haven't been sent the known departures.
    std::map<vm_id, departure_delivery> deliveries; ///< Unconfirmed departures, by the VM that they were passed on to.
    instant gatheredAt = instant::max(); ///< When what is gathered is sent; the end of time while nothing is.
};

/// A departure and the number under which the VM that an instance told it awaits receipts.
struct numbered_departure {
    std::uint64_t number = 0; ///< Number to confirm.
    departure what; ///< The departure.
    bool operator==(const numbered_departure &) const = default; ///< Memberwise equality.
};

/// Message: control VMs are to hold the departures and to confirm them.
struct departures_to_hold {
    std::vector<numbered_departure> departures; ///< The departures.
    bool operator==(const departures_to_hold &) const = default; ///< Memberwise equality.
};

/// Message: the sender holds the departures with these numbers of the receiver.
struct departures_held {
    std::vector<std::uint64_t> numbers; ///< Numbers from departures_to_hold.
    bool operator==(const departures_held &) const = default; ///< Memberwise equality.
};

/// Message: departures that are passed on. The receiver confirms those that it has taken.
struct departures_passed_on {
    std::vector<departure> departures; ///< The departures.
    bool operator==(const departures_passed_on &) const = default; ///< Memberwise equality.
};

/// Message: the sender has the departures that were passed on to it.
struct departures_confirmed {
    std::vector<std::uint64_t> fingerprints; ///< Their fingerprints, by departureFingerprint().
    bool operator==(const departures_confirmed &) const = default; ///< Memberwise equality.
};

/// Message between VMs about departures.
using departure_message = std::variant<departures_to_hold, departures_held, departures_passed_on, departures_confirmed>;

/// Fingerprint of a departure, the same on all VMs and in all builds.
std::uint64_t departureFingerprint(const departure &what);

/// The confirmation of departures that were passed on to this VM.
departures_confirmed confirmationOf(const departures_passed_on &message);

/// Largest number of departures in one message.
constexpr std::size_t maxDeparturesPerMessage = 64;

/// Event: an instance told this VM its departure.
struct departure_told {
    std::uint64_t ticket = 0; ///< Identifies the call that waits for the answer.
    departure what; ///< The departure.
};

/// Event: another VM sent a message about departures.
struct departure_message_received {
    vm_id from; ///< VM that sent it.
    departure_message message; ///< The message.
};

/// Event: the voting control VMs have changed.
struct departure_voters_changed {
    std::vector<vm_id> voters; ///< Voting control VMs, ordered by id.
};

/// Event: the live VMs have changed.
struct departure_vms_changed {
    std::vector<fleet_vm> vms; ///< Other live VMs, ordered by id.
};

/// Event: the time of nextWake() has come.
struct departure_time_passed {
};

/// Every event that the departures react to.
using departure_event = std::variant<departure_told, departure_message_received, departure_voters_changed,
                                     departure_vms_changed, departure_time_passed>;

/// Effect: the call is to be answered.
struct answer_departure {
    std::uint64_t ticket = 0; ///< The call.
    bool held = false; ///< Enough VMs hold the departure, so that it may be acknowledged.
    departure what; ///< The departure.
    std::size_t holders = 0; ///< Voting control VMs that are known to hold it.
    duration waited{}; ///< Time since the departure was told.
};

/// Effect: the departure is new to this VM and applies to its registry.
struct apply_departure {
    departure what; ///< The departure.
};

/// Effect: none of some VMs' homes has confirmed departures in time, so that this VM tells them itself.
struct cover_homes {
    std::vector<vm_id> receivers; ///< VMs that this one tells.
    std::vector<vm_id> silent; ///< Control VMs that haven't confirmed the departures.
    std::size_t departures = 0; ///< Number of departures.
};

/// Effect: departures are passed on to a VM once more.
struct repeat_departures {
    vm_id to; ///< VM that gets them.
    std::size_t departures = 0; ///< Number of departures in the message or messages.
    std::size_t unconfirmed = 0; ///< Number of departures that it hasn't confirmed.
    duration waited{}; ///< Time since the first of these was to be passed on.
};

/// Effect: a message is to be sent to other VMs.
struct send_departures {
    std::vector<vm_id> to; ///< VMs that get it.
    departure_message message; ///< The message.
};

/// Every effect of the departures.
using departure_effect =
    std::variant<answer_departure, apply_departure, cover_homes, repeat_departures, send_departures>;

/// Handles one event and appends the effects.
void step(departure_table &state, const departure_event &event, instant now, std::vector<departure_effect> &effects);

/// When departure_time_passed is due; the end of time if it isn't.
instant nextWake(const departure_table &state);

/// Number of voting control VMs that must hold a departure before it is acknowledged.
std::size_t holdersNeeded(const departure_table &state);

} // namespace guavafront
