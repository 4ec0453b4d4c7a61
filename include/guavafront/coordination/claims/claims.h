#pragma once

#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/claims/claimant.h>
#include <guavafront/coordination/claims/claims_home.h>

#include <optional>
#include <variant>
#include <vector>

namespace guavafront
{

/// Both sides of the claims on one VM.
struct claims {
    claimant claimantSide; ///< Claims that this VM makes.
    claims_home homeSide; ///< Claims that this VM keeps.
};

/// The caller went away, or the deadline passed, before the claim was resolved.
struct abandon_claim {
    exchange_id id; ///< Request.
};

/// A message about claims came over a proved link.
struct claim_message_received {
    vm_id from; ///< Proved by the link.
    claim_message message; ///< Decoded.
};

/// A view was agreed on; older ones than the present are ignored.
struct claims_view_changed {
    claims_view view; ///< The view.
};

/// Time moved on.
struct claims_time_passed {
};

/// All that claims react to.
using claims_event = std::variant<start_claim, end_claim, abandon_claim, claim_message_received, claims_view_changed,
                                  claims_time_passed>;

/// Claims of a VM that knows no view yet. life is drawn at random for each state that is made: the VM's process may
/// make a second one, which must not pass for the first.
claims makeClaims(vm_id self, std::uint64_t life, const claimant_options &askingOptions,
                  const claims_home_options &homeOptions);

/// Reacts to one event. Messages to the VM itself are handled within the step; the effects are messages to others and
/// claims that were resolved.
void step(claims &state, const claims_event &event, instant now, std::vector<claimant_effect> &effects);

/// When claims_time_passed is due next.
std::optional<instant> nextWake(const claims &state);

} // namespace guavafront
