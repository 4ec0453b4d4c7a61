#pragma once

#include <guavafront/coordination/core/digest_index.h>
#include <guavafront/coordination/membership/member.h>
#include <guavafront/coordination/spread/beacon.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Asks for a sign of life.
struct membership_ping {
    std::uint64_t nonce = 0; ///< Comes back in the answer.
    bool operator==(const membership_ping &) const = default; ///< Memberwise equality.
};

/// Sign of life.
struct membership_ack {
    std::uint64_t nonce = 0; ///< From the ping or the ping request.
    std::optional<beacon> leaderBeacon; ///< What the sender knows of the leader; filled in by the sender's task.
    bool operator==(const membership_ack &) const = default; ///< Memberwise equality.
};

/// Asks another VM to ping one that didn't answer.
struct membership_ping_request {
    std::uint64_t nonce = 0; ///< Comes back in the answer.
    vm_id target; ///< VM to ping.
    std::string address; ///< Its links.
    bool operator==(const membership_ping_request &) const = default; ///< Memberwise equality.
};

/// News of VMs.
struct membership_gossip {
    std::vector<member_update> updates; ///< What the sender holds.
    bool repair = false; ///< From a comparison of tables: not to be passed on at once.
    bool operator==(const membership_gossip &) const = default; ///< Memberwise equality.
};

/// Asks a VM to compare tables; the first message of one that joins.
struct membership_digest {
    member_record sender; ///< Record of the sender itself.
    table_digest digest; ///< Of its table.
    bool operator==(const membership_digest &) const = default; ///< Memberwise equality.
};

/// Buckets that differ from a digest.
struct membership_summary {
    bucket_summary summary; ///< The sender's entries in them.
    bool operator==(const membership_summary &) const = default; ///< Memberwise equality.
};

/// Asks for records that the sender lacks.
struct membership_record_request {
    std::vector<entry_hash> hashes; ///< From a summary.
    bool operator==(const membership_record_request &) const = default; ///< Memberwise equality.
};

/// Any message of the membership.
using membership_message = std::variant<membership_ping, membership_ack, membership_ping_request, membership_gossip,
                                        membership_digest, membership_summary, membership_record_request>;

} // namespace guavafront
