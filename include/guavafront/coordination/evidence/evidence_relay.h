#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/homes/homes.h>

#include <array>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// Report of an instance and the VM that observed it.
struct observed_report {
    vm_id observer; ///< Entry VM that observed it; it doesn't count its own reports again.
    instance_report report; ///< The observation.
    bool operator==(const observed_report &) const = default; ///< Memberwise equality.
};

/// Sender and receiver of a message with evidence.
enum class evidence_stage : std::uint8_t {
    Reported, ///< An entry VM sends what it observed to hubs.
    Gathered, ///< A hub sends what entry VMs have reported to the other hubs.
    Published, ///< A hub sends all evidence to the entry VMs that have it as a home.
};

/// Number of copies of each report, which reach an entry VM by different hubs.
constexpr std::size_t evidenceCopies = 2;

/// Evidence on upstream instances, as VMs exchange it.
struct evidence_message {
    evidence_stage stage = evidence_stage::Reported; ///< Sender and receiver of the message.
    std::uint8_t copy = 0; ///< Which of the copies of the reports it has, from 0.
    std::vector<observed_report> reports; ///< The reports, in the order of their arrival.
    bool operator==(const evidence_message &) const = default; ///< Memberwise equality.
};

/// Relay of evidence at a control VM, which is a hub of entry VMs. It tells the other hubs at once what an entry VM has
/// reported, and publishes all evidence together to the entry VMs that have it as a home, so that a report costs a hub
/// messages to some of the entry VMs only, and mostly within its data centre.
struct evidence_relay {
    fleet_vm self; ///< This VM.
    /// A home of each entry VM for each copy, in its own data centre as far as there are any.
    home_rule rule{.homes = evidenceCopies, .nearHomes = evidenceCopies};
    /// Least time between two publications. Evidence that comes meanwhile is gathered.
    duration gatherTime = std::chrono::milliseconds(25);
    std::vector<vm_id> hubs; ///< Other live control VMs.
    std::array<std::vector<vm_id>, evidenceCopies> receivers; ///< Entry VMs that get each copy from this VM.
    std::array<std::vector<observed_report>, evidenceCopies> unpublished; ///< Reports of each copy to publish.
    instant publishedAt{}; ///< Time of the last publication.
    instant publishAt = instant::max(); ///< When they are published; the end of time while there are none.
};

/// A message that is to be sent to VMs.
struct send_evidence {
    std::vector<vm_id> to; ///< VMs that get it.
    evidence_message message; ///< The message.
};

/// Largest number of reports in one message.
constexpr std::size_t maxReportsPerMessage = 256;

/// Records the other live VMs. Those without the control role are entry VMs.
void updateFleet(evidence_relay &state, std::span<const fleet_vm> others);

/// Handles a message of another VM. Returns the message to send at once, which has no receivers if there is none.
send_evidence receiveEvidence(evidence_relay &state, const evidence_message &message, instant now);

/// Returns the messages that are due, and forgets what they publish.
std::vector<send_evidence> takeDueEvidence(evidence_relay &state, instant now);

} // namespace guavafront
