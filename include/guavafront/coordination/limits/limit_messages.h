#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace guavafront
{

/// Index of a group of accounts; all accounts of a slot have the same owner.
using limit_slot = std::uint16_t;

/// An owner asks a VM to delegate its share of every account in these slots.
struct share_request {
    std::uint64_t round = 0; ///< Number of the round; the owner remembers when it was sent.
    std::vector<limit_slot> slots; ///< Slots that the sender owns.
    bool operator==(const share_request &) const = default;
};

/// A VM delegates its share for delegationLifetime, which the owner counts from the start of the round and the VM from
/// the sending of this message, so that the owner stops using the share before its VM uses it.
struct share_delegation {
    std::uint64_t round = 0; ///< Number of the round that this answers.
    std::vector<limit_slot> slots; ///< Subset of the requested slots.
    bool operator==(const share_delegation &) const = default;
};

/// One account in a request for leases: what the VM holds and needs.
struct lease_request_item {
    account_id account;
    std::uint64_t appliedSequence = 0; ///< Number of the request whose grant is in force; 0 if none is.
    double heldRate = 0; ///< Refill rate that the VM keeps, in tokens per second; may be less than granted.
    double heldCapacity = 0; ///< Capacity that the VM keeps, in tokens; may be less than granted.
    double level = 0; ///< Tokens that the VM holds now.
    double returnedTokens = 0; ///< Tokens that the VM gives up with this request.
    double demand = 0; ///< Requests per second that arrive at the VM.
    std::uint32_t waiting = 0; ///< Requests that wait at the VM for a token now.
    bool operator==(const lease_request_item &) const = default;
};

/// A VM asks an owner to grant or renew leases, and returns the tokens that it no longer needs.
struct lease_request {
    std::uint64_t sequence = 0; ///< Number of the request; increases with each request of the VM.
    std::vector<lease_request_item> items; ///< Accounts in slots that the receiver owns.
    bool operator==(const lease_request &) const = default;
};

/// Lease of a part of one account's budget; replaces the VM's previous lease of the account.
struct lease_grant_item {
    account_id account;
    double rate = 0; ///< Rate at which the VM may refill its lease, in tokens per second.
    double capacity = 0; ///< Most tokens that the VM may hold.
    double tokens = 0; ///< Tokens handed over with the grant.
    duration lifetime{}; ///< Counted from the sending of the request; at most limit_settings::leaseLifetime.
    duration retryAfter{}; ///< Time until a token is likely, if none could be given.
    bool operator==(const lease_grant_item &) const = default;
};

/// An owner's answer to a request for leases. The VM counts the lifetimes from the sending of its request.
struct lease_grant {
    std::uint64_t sequence = 0; ///< Number of the request that this answers.
    std::vector<lease_grant_item> items; ///< Accounts of the request about which the owner could decide.
    bool operator==(const lease_grant &) const = default;
};

/// One slot whose shares an owner gives back.
struct share_release_item {
    limit_slot slot = 0; ///< The slot.
    duration usableAfter{}; ///< Time after which every lease from these shares has ended.
    bool operator==(const share_release_item &) const = default;
};

/// An owner gives the shares of slots back to their VMs before the delegations run out, and asks for no more.
struct share_release {
    std::uint64_t round = 0; ///< The owner's latest round; it uses no share that was delegated in it or earlier.
    std::vector<share_release_item> slots; ///< The slots that it gives back.
    bool operator==(const share_release &) const = default;
};

/// Message between the limiters of two VMs.
using limit_message = std::variant<share_request, share_delegation, lease_request, lease_grant, share_release>;

} // namespace guavafront
