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

/// State machine that the control VMs replicate.
struct control_state {
    change_log log; ///< Accepted configuration and the answers to earlier change requests.
    history_digest digest{}; ///< History digest of the accepted configuration.
    claims_view claims; ///< Agreed view of the VMs that keep claims.
    bool operator==(const control_state &) const = default; ///< Memberwise equality.
};

/// Result of applying a command of the replicated log.
struct applied_command {
    change_answer answer; ///< Answer to the operator who submitted the command.
    bool accepted = false; ///< The command led to a new revision.
    std::optional<configuration_delta> delta; ///< Changes of the new revision; empty if they are too large to send.
};

/// Encodes a command that makes next the agreed claims view, unless another view with its epoch was agreed on first.
std::vector<std::byte> encodeClaimsCommand(const claims_view &next);

/// Applies an encoded command: a change proposal or a claims view. Throws coordination_error if it can't be decoded.
applied_command applyCommand(control_state &state, const fleet_secret &secret, std::span<const std::byte> payload);

/// Encodes the state as CBOR, for snapshots.
std::vector<std::byte> encodeControlState(const control_state &state);

/// Decodes a state; no bytes stand for the empty state. Throws coordination_error if the bytes can't be decoded.
control_state decodeControlState(std::span<const std::byte> encoded);

} // namespace guavafront
