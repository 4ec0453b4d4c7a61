#pragma once

#include "wire/handshake.h"

#include <guavafront/coordination/claims/claims_view.h>
#include <guavafront/coordination/configuration/change_log.h>
#include <guavafront/coordination/configuration/configuration_follower.h>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace guavafront
{

/// State that the control VMs replicate: what was decided, and the digest of the history of acceptances.
struct control_state {
    change_log log; ///< Configuration and answers.
    history_digest digest{}; ///< Of the configuration's history.
    claims_view claims; ///< VMs that keep claims.
    bool operator==(const control_state &) const = default; ///< Memberwise equality.
};

/// What one command of the replicated log did.
struct applied_command {
    change_answer answer; ///< Answer to the operator.
    bool accepted = false; ///< It made a revision.
    std::optional<configuration_delta> delta; ///< How VMs get there; nothing where the whole is to be sent.
};

/// Command that makes a view of the VMs that keep claims the agreed one, unless another one came first.
std::vector<std::byte> encodeClaimsCommand(const claims_view &next);

/// Applies a command, an encoded proposal or claims command. Throws coordination_error when it can't be decoded.
applied_command applyCommand(control_state &state, const fleet_secret &secret, std::span<const std::byte> payload);

/// CBOR of the state, for a snapshot.
std::vector<std::byte> encodeControlState(const control_state &state);

/// The state; that of an empty snapshot is the empty one. Throws coordination_error.
control_state decodeControlState(std::span<const std::byte> encoded);

} // namespace guavafront
