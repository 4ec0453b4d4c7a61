#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// Whether a request may be sent to an upstream more than once.
enum class repeatability : std::uint8_t {
    ByMethod, ///< Idempotent methods of RFC 9110 section 9.2.2 may be repeated.
    Repeatable, ///< Always.
    NotRepeatable, ///< Never: at most one upstream sees it once.
};

/// SHA-256 of a caller's key; the key itself is never stored.
using key_hash = std::array<std::byte, 32>;

/// Values in force for the whole fleet unless an exception says otherwise.
struct fleet_defaults {
    double accountRatePerSecond = 100; ///< Requests a second for each client account, over all VMs together.
    double accountBurst = 200; ///< Requests a client account may spend at once, over all VMs together.
    std::uint32_t requestTimeoutMs = 10'000; ///< Deadline of a request whose route names none.
    std::uint32_t healthyFloorPercent = 70; ///< Ejection never takes a service's capacity below this share.
    std::uint32_t retryBudgetPercent = 10; ///< Retries of a service as a share of its first tries.
    std::uint32_t announcementLeaseMs = 3'000; ///< An instance that is silent for longer is gone.
    std::uint32_t stalenessLimitMs = 5'000; ///< An entry VM cut off alone for longer refuses keyed requests.
    std::uint32_t claimRetentionMs = 86'400'000; ///< How long the outcome under an idempotency key is kept.
    std::uint32_t quarantineDeaths = 3; ///< Instances that must die of one request before it is held back.

    /// Memberwise equality.
    bool operator==(const fleet_defaults &) const = default;
};

/// Client account.
struct account {
    account_id id; ///< Given by the control.
    std::string name; ///< Unique; goes upstream with each request.
    std::vector<std::string> kindOrder; ///< Kinds of requests, most important first; the account manager's order.
    std::uint32_t priority = 0; ///< Rank among the accounts, 0 first; goes before a route's.

    /// Memberwise equality.
    bool operator==(const account &) const = default;
};

/// Key of a client account.
struct account_key {
    std::string label; ///< Unique name for operators; says nothing about the key.
    key_hash hash{}; ///< SHA-256 of the key.
    account_id owner; ///< Account the key speaks for.

    /// Memberwise equality.
    bool operator==(const account_key &) const = default;
};

/// One part of a route whose requests are split.
struct weighted_service {
    std::string service; ///< Service that gets the part.
    double weight = 1; ///< Share of the requests, relative to the other parts; 0 gets none.

    /// Memberwise equality.
    bool operator==(const weighted_service &) const = default;
};

/// Way from callers' requests to a service.
struct route {
    route_id id; ///< Given by the control.
    std::string host; ///< Lower-case host without port; empty matches any.
    std::string pathPrefix = "/"; ///< Matches at segment boundaries; the longest match wins.
    std::string service; ///< Service whose instances serve the route.
    std::string kind; ///< Kind of request in the account managers' orders.
    bool openToAll = false; ///< Requests need no key.
    bool ordered = false; ///< Changes of one resource reach the service in the order of arrival.
    repeatability repeats = repeatability::ByMethod; ///< Whether its requests may be repeated.
    std::uint32_t timeoutMs = 0; ///< Deadline; 0 takes the default.
    std::vector<weighted_service> split; ///< Services in place of service, each with its share; empty for one service.
    std::uint32_t targetLatencyMs = 0; ///< An answer within it is worth most; 0 for none.
    std::uint32_t priority = 0; ///< Rank among the routes, 0 first.
    std::uint32_t maxAttempts = 0; ///< Instances that a request may be sent to; 0 leaves it to the retry limits.

    /// Memberwise equality.
    bool operator==(const route &) const = default;
};

/// Departure from a default for one account or service, with the written reason.
struct setting_exception {
    std::string subject; ///< "account:NAME" or "service:NAME".
    std::string setting; ///< Name of a member of fleet_defaults.
    double value = 0; ///< In the unit of that member.
    std::string reason; ///< Why; never empty.

    /// Memberwise equality.
    bool operator==(const setting_exception &) const = default;
};

/// Bounds of what callers may send; 0 leaves each to the VM's settings.
struct caller_limits {
    std::uint32_t headerBytes = 0; ///< First line and header fields of a request.
    std::uint32_t bodyBytes = 0; ///< Body of a request.
    std::uint32_t headerTimeoutMs = 0; ///< From a request's first byte to the end of its header fields.
    std::uint32_t idleTimeoutMs = 0; ///< A caller's connection that sends nothing for longer is closed.

    /// Memberwise equality.
    bool operator==(const caller_limits &) const = default;
};

/// The whole accepted configuration at one revision.
struct configuration {
    revision atRevision; ///< Revision; 0 is the empty configuration.
    fleet_defaults defaults; ///< Fleet-wide values.
    std::vector<account> accounts; ///< Ordered by id.
    std::vector<account_key> keys; ///< Ordered by label.
    std::vector<route> routes; ///< Ordered by id.
    std::vector<setting_exception> exceptions; ///< Ordered by subject, then setting.
    account_id lastAccountId; ///< Highest account id ever given.
    route_id lastRouteId; ///< Highest route id ever given.
    caller_limits limits; ///< Bounds of what callers may send.
    std::uint64_t externalVersion = 0; ///< Version that an outside operator gave with replace_all; 0 before the first.
    std::string document; ///< What that operator sent, as it is read back; empty before the first.

    /// Memberwise equality.
    bool operator==(const configuration &) const = default;
};

} // namespace guavafront
