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

/// Subsystem that an entry belongs to. The numbers are the same in all versions of the program; entries of topics with
/// lower numbers are sent first.
enum class spread_topic : std::uint8_t {
    Quarantine = 0, ///< Requests that are in quarantine in the whole fleet.
    Instances = 1, ///< Announced upstream instances, published by the VM that receives the announcements.
    Health = 2, ///< Evidence about the health of upstreams.
    Limits = 3, ///< Demand on the request rates of client accounts.
    Revisions = 4, ///< Configuration revision in force on each VM.
    Diagnostics = 5, ///< Information for operators.
    Claims = 6, ///< VMs that can store claims, and the agreed view of these VMs.
    Last = Claims, ///< Highest known number.
};

/// Key of an entry. Only its owner writes the entry.
struct spread_key {
    spread_topic topic = spread_topic::Diagnostics; ///< Subsystem of the entry.
    vm_id owner; ///< VM that writes the entry.
    std::string name; ///< Name, unique for topic and owner.

    /// Orders by topic first, so that the most urgent topic is first in a map.
    auto operator<=>(const spread_key &) const = default; // NOLINT(modernize-use-nullptr): false alarm
};

/// One entry with its key and value, as deltas carry it.
struct spread_entry {
    spread_key key; ///< Key of the entry.
    std::uint64_t version = 0; ///< Raised by the owner with each write of any of its entries; the highest wins.
    bool removed = false; ///< Whether the owner withdrew the entry; the payload is empty then.
    std::vector<std::byte> payload; ///< The value, as the subsystem encoded it.

    /// Memberwise equality.
    bool operator==(const spread_entry &) const = default;
};

/// Entries that the receiver may lack.
struct spread_delta {
    std::vector<spread_entry> entries; ///< Entries in the order of their keys, most urgent topic first.
    bool operator==(const spread_delta &) const = default; ///< Memberwise equality.
};

/// Asks a VM to compare the tables of entries.
struct spread_digest {
    table_digest digest; ///< Digest of the sender's table.
    bool operator==(const spread_digest &) const = default; ///< Memberwise equality.
};

/// Answer to a digest: the buckets in which the two tables differ.
struct spread_summary {
    bucket_summary summary; ///< Hashes of the sender's entries in these buckets.
    bool operator==(const spread_summary &) const = default; ///< Memberwise equality.
};

/// Answer to a summary: asks for the entries that the sender lacks.
struct spread_entry_request {
    std::vector<entry_hash> hashes; ///< Hashes of the entries, from the summary.
    bool operator==(const spread_entry_request &) const = default; ///< Memberwise equality.
};

/// Any message with which VMs replicate their tables of entries.
using spread_message = std::variant<spread_delta, spread_digest, spread_summary, spread_entry_request>;

} // namespace guavafront
