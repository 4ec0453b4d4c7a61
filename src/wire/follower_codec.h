#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/configuration/configuration_follower.h>
#include <guavafront/coordination/configuration/confirmations.h>

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// Version of the messages between followers; the first field of each.
constexpr std::uint64_t followerFormatVersion = 1;
/// Longest name of a VM in a report.
constexpr std::size_t maxVmNameBytes = 256;
/// Largest message between followers.
constexpr std::size_t maxFollowerMessageBytes = std::size_t{1} << 20;

/// "This is what I hold."
struct offer_message {
    held_revision held; ///< The sender's.
    bool operator==(const offer_message &) const = default; ///< Memberwise equality.
};

/// "Send me what I lack."
struct pull_message {
    held_revision held; ///< The sender's.
    snapshot_position snapshot; ///< Where a snapshot goes on.
    bool operator==(const pull_message &) const = default; ///< Memberwise equality.
};

/// Revisions that the receiver lacks.
struct deltas_message {
    std::vector<configuration_delta> deltas; ///< Oldest first.
    bool operator==(const deltas_message &) const = default; ///< Memberwise equality.
};

/// "Send me a revision_report."
struct report_request {
    bool operator==(const report_request &) const = default; ///< Memberwise equality.
};

/// Message between two followers.
using follower_message =
    std::variant<offer_message, pull_message, deltas_message, snapshot_part, revision_report, report_request>;

/// CBOR of a message.
byte_buffer encodeFollowerMessage(const follower_message &message);

/// The message. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
follower_message decodeFollowerMessage(std::span<const std::byte> encoded);

} // namespace guavafront
