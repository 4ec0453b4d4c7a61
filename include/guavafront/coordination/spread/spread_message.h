#pragma once

#include <guavafront/coordination/core/digest_index.h>
#include <guavafront/coordination/core/identifiers.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Subsystem that an entry belongs to; numbers are stable between versions, lower ones are sent first.
enum class spread_topic : std::uint8_t {
    Quarantine = 0, ///< Requests held back fleet-wide.
    Instances = 1, ///< Announced upstream instances, by the VM that hears them.
    Health = 2, ///< Evidence about upstreams.
    Limits = 3, ///< Demand on client accounts' rates.
    Revisions = 4, ///< Revision in force on a VM.
    Diagnostics = 5, ///< What operators like to know.
    Claims = 6, ///< VMs that can keep claims, and the agreed view of them.
    Last = Claims, ///< Highest known number.
};

/// Name of an entry. Only its owner writes it.
struct spread_key {
    spread_topic topic = spread_topic::Diagnostics; ///< Subsystem.
    vm_id owner; ///< The writer.
    std::string name; ///< Unique for topic and owner.

    /// Orders by topic first.
    auto operator<=>(const spread_key &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

/// One entry with its value.
struct spread_entry {
    spread_key key; ///< Its name.
    std::uint64_t version = 0; ///< Counted by the owner over all its entries; the highest wins.
    bool removed = false; ///< The owner withdrew it; the payload is empty.
    std::vector<std::byte> payload; ///< The subsystem's encoding.

    /// Memberwise equality.
    bool operator==(const spread_entry &) const = default;
};

/// New entries.
struct spread_delta {
    std::vector<spread_entry> entries; ///< Most urgent first.
    bool operator==(const spread_delta &) const = default; ///< Memberwise equality.
};

/// Asks a VM to compare tables.
struct spread_digest {
    table_digest digest; ///< Of the sender's table.
    bool operator==(const spread_digest &) const = default; ///< Memberwise equality.
};

/// Buckets that differ from a digest.
struct spread_summary {
    bucket_summary summary; ///< The sender's entries in them.
    bool operator==(const spread_summary &) const = default; ///< Memberwise equality.
};

/// Asks for entries that the sender lacks.
struct spread_entry_request {
    std::vector<entry_hash> hashes; ///< From a summary.
    bool operator==(const spread_entry_request &) const = default; ///< Memberwise equality.
};

/// Any message of the spread.
using spread_message = std::variant<spread_delta, spread_digest, spread_summary, spread_entry_request>;

} // namespace guavafront
