#pragma once

#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/claims/claimant.h>
#include <guavafront/coordination/claims/claims_home.h>

#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// State of the claims on one VM, as claimant and as home.
struct claims {
    claimant claimantSide; ///< Claims that this VM makes for the requests it serves.
    claims_home homeSide; ///< Claims that this VM stores and votes on as a home.
};

/// The caller disconnected, or the deadline passed, before the claim was resolved.
struct abandon_claim {
    exchange_id id; ///< Request whose claim is dropped.
};

/// A claim message arrived from a peer over an authenticated link.
struct claim_message_received {
    vm_id from; ///< Sender, as authenticated by the link.
    claim_message message; ///< Decoded message.
};

/// The fleet agreed on a view. Views that are not newer than the current one are ignored.
struct claims_view_changed {
    claims_view view; ///< View to put in force.
};

/// The time returned by nextWake() has come.
struct claims_time_passed {
};

/// Any event that step() handles.
using claims_event = std::variant<start_claim, end_claim, abandon_claim, claim_message_received, claims_view_changed,
                                  claims_time_passed>;

/// Returns the claims of a VM that has no view yet. The life must be drawn at random for each state: a process may
/// create a second state, which lacks the records of the first and must not be taken for it.
claims makeClaims(vm_id self, std::uint64_t life, const claimant_options &askingOptions,
                  const claims_home_options &homeOptions);

/// Handles one event. Messages of the VM to itself are delivered within the step; the effects are messages to other VMs
/// and results of claims.
void step(claims &state, const claims_event &event, instant now, std::vector<claimant_effect> &effects);

/// Returns when a claims_time_passed event is due next; nothing when no work is scheduled.
std::optional<instant> nextWake(const claims &state);

} // namespace guavafront
