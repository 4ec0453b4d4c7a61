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

/// Version of the messages between configuration followers; it is the first field of each.
constexpr std::uint64_t followerFormatVersion = 1;
/// Largest name of a VM in a revision report, in bytes.
constexpr std::size_t maxVmNameBytes = 256;
/// Largest encoded message between followers, in bytes.
constexpr std::size_t maxFollowerMessageBytes = std::size_t{1} << 20;

/// Announces the revision that the sender has.
struct offer_message {
    held_revision held; ///< Revision and history digest of the sender.
    bool operator==(const offer_message &) const = default; ///< Memberwise equality.
};

/// Asks for the revisions after the one that the sender has.
struct pull_message {
    held_revision held; ///< Revision and history digest of the sender.
    snapshot_position snapshot; ///< Position at which a partly received snapshot continues.
    bool operator==(const pull_message &) const = default; ///< Memberwise equality.
};

/// Revisions that the receiver lacks, each as the changes to the one before it.
struct deltas_message {
    std::vector<configuration_delta> deltas; ///< Ordered by revision, oldest first.
    bool operator==(const deltas_message &) const = default; ///< Memberwise equality.
};

/// Asks the receiver for a revision_report.
struct report_request {
    bool operator==(const report_request &) const = default; ///< Memberwise equality.
};

/// Message between two configuration followers.
using follower_message =
    std::variant<offer_message, pull_message, deltas_message, snapshot_part, revision_report, report_request>;

/// Encodes a message between followers as CBOR.
byte_buffer encodeFollowerMessage(const follower_message &message);

/// Decodes what encodeFollowerMessage() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed,
/// MessageUnknown).
follower_message decodeFollowerMessage(std::span<const std::byte> encoded);

} // namespace guavafront
