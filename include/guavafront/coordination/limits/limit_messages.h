#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace guavafront
{

/// Part of the accounts; all accounts of a slot have the same owner.
using limit_slot = std::uint16_t;

/// An owner asks a VM to delegate its share of every account in these slots.
struct share_request {
    std::uint64_t round = 0; ///< Names the moment of sending on the owner's own clock.
    std::vector<limit_slot> slots; ///< Slots the owner serves.
    bool operator==(const share_request &) const = default; ///< Memberwise equality.
};

/// A VM delegates its share; the owner counts its end from the round's start, the VM from the sending of this.
struct share_delegation {
    std::uint64_t round = 0; ///< Round that is answered.
    std::vector<limit_slot> slots; ///< Subset of the requested slots.
    bool operator==(const share_delegation &) const = default; ///< Memberwise equality.
};

/// What a VM holds and wants of one account.
struct lease_request_item {
    account_id account; ///< The account.
    std::uint64_t appliedSequence = 0; ///< Request whose grant is in force; 0 for none.
    double heldRate = 0; ///< Tokens a second kept; may be less than granted.
    double heldCapacity = 0; ///< Most tokens kept at once; may be less than granted.
    double level = 0; ///< Tokens kept now.
    double returnedTokens = 0; ///< Tokens given up with this request.
    double demand = 0; ///< Requests a second that arrive.
    std::uint32_t waiting = 0; ///< Requests that wait for a token now.
    bool operator==(const lease_request_item &) const = default; ///< Memberwise equality.
};

/// A VM asks an owner to grant or renew leases, and gives back what it needs no more.
struct lease_request {
    std::uint64_t sequence = 0; ///< Goes up with each request of the VM.
    std::vector<lease_request_item> items; ///< Accounts of the owner's slots.
    bool operator==(const lease_request &) const = default; ///< Memberwise equality.
};

/// Lease of one account's budget; it replaces the one before.
struct lease_grant_item {
    account_id account; ///< The account.
    double rate = 0; ///< Tokens a second the VM may mint.
    double capacity = 0; ///< Most tokens the VM may hold.
    double tokens = 0; ///< Tokens handed over now.
    duration lifetime{}; ///< From the sending of the request; at most the leases' lifetime.
    duration retryAfter{}; ///< When a token is likely, where none could be given.
    bool operator==(const lease_grant_item &) const = default; ///< Memberwise equality.
};

/// An owner's answer; the VM counts the leases' end from the sending of its request.
struct lease_grant {
    std::uint64_t sequence = 0; ///< Request that is answered.
    std::vector<lease_grant_item> items; ///< One for each account of the request.
    bool operator==(const lease_grant &) const = default; ///< Memberwise equality.
};

/// Message between the limiters of two VMs.
using limit_message = std::variant<share_request, share_delegation, lease_request, lease_grant>;

} // namespace guavafront
