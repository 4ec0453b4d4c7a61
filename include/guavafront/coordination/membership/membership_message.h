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

/// Probe of a VM, which answers with membership_ack.
struct membership_ping {
    std::uint64_t nonce = 0; ///< Copied into the answer, to match it with the ping.
    bool operator==(const membership_ping &) const = default; ///< Memberwise equality.
};

/// Answer to a ping or a ping request.
struct membership_ack {
    std::uint64_t nonce = 0; ///< Nonce of the ping or the ping request.
    std::optional<beacon> leaderBeacon; ///< Newest beacon of the control leader that the sender knows; set by the
                                        ///< sender's task, not by step().
    bool operator==(const membership_ack &) const = default; ///< Memberwise equality.
};

/// Asks a helper to ping a VM that didn't answer the sender (SWIM's indirect probe).
struct membership_ping_request {
    std::uint64_t nonce = 0; ///< Copied into the answer, to match it with the request.
    vm_id target; ///< VM to ping.
    std::string address; ///< "IP:port" of the VM to ping.
    bool operator==(const membership_ping_request &) const = default; ///< Memberwise equality.
};

/// Records of VMs that the sender passes on.
struct membership_gossip {
    std::vector<member_update> updates; ///< The records in the sender's table.
    bool repair = false; ///< The records come from a comparison of tables; the receiver doesn't pass them on itself.
    bool operator==(const membership_gossip &) const = default; ///< Memberwise equality.
};

/// Asks a VM to compare member tables; the first message that a joining VM sends.
struct membership_digest {
    member_record sender; ///< Record of the sender itself.
    table_digest digest; ///< Digest of the sender's table.
    bool operator==(const membership_digest &) const = default; ///< Memberwise equality.
};

/// Answer to a digest: the buckets in which the two tables differ.
struct membership_summary {
    bucket_summary summary; ///< Hashes of the sender's records in these buckets.
    bool operator==(const membership_summary &) const = default; ///< Memberwise equality.
};

/// Answer to a summary: asks for the records that the sender lacks.
struct membership_record_request {
    std::vector<entry_hash> hashes; ///< Hashes of the records, from the summary.
    bool operator==(const membership_record_request &) const = default; ///< Memberwise equality.
};

/// Any message of the membership protocol.
using membership_message = std::variant<membership_ping, membership_ack, membership_ping_request, membership_gossip,
                                        membership_digest, membership_summary, membership_record_request>;

} // namespace guavafront
