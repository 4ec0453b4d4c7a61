#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/evacuation/evacuation.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// Whether a request may be sent to upstreams more than once.
enum class repeatability : std::uint8_t {
    ByMethod, ///< Requests with idempotent methods (RFC 9110, section 9.2.2) may be repeated, others may not.
    Repeatable, ///< Every request may be repeated.
    NotRepeatable, ///< No request may be repeated: at most one upstream instance receives it, once.
};

/// SHA-256 of a caller's key; the key itself is never stored.
using key_hash = std::array<std::byte, 32>;

/// Settings in force for the whole fleet, except for accounts and services with a setting_exception. Each member is
/// listed in settingTable() under its own name.
struct fleet_defaults {
    double accountRatePerSecond = 100; ///< Requests per second of each client account, over all VMs together.
    double accountBurst = 200; ///< Requests that a client account may send at once, over all VMs together.
    std::uint32_t requestTimeoutMs = 10'000; ///< Deadline in ms of a request whose route sets none.
    std::uint32_t healthyFloorPercent = 70; ///< Ejection never reduces a service's capacity below this percentage.
    std::uint32_t retryBudgetPercent = 10; ///< Retries of a service, in percent of its first attempts.
    std::uint32_t announcementLeaseMs = 3'000; ///< An instance without an announcement for longer counts as gone.
    std::uint32_t stalenessLimitMs = 5'000; ///< An entry VM refuses keyed requests while the control VMs' last
                                            ///< confirmation of its configuration is older.
    std::uint32_t claimRetentionMs = 86'400'000; ///< How long the outcome of an idempotency key is kept.
    std::uint32_t quarantineDeaths = 3; ///< Instances that must die of one request before it is quarantined.

    /// Memberwise equality.
    bool operator==(const fleet_defaults &) const = default;
};

/// Client account.
struct account {
    account_id id; ///< Id assigned by the control VMs.
    std::string name; ///< Unique name; sent to the upstream with each request of the account.
    std::vector<std::string> kindOrder; ///< Kinds of requests, most important first; set by the account manager.
    std::uint32_t priority = 0; ///< Rank among the accounts, 0 first; takes precedence over route::priority.

    /// Memberwise equality.
    bool operator==(const account &) const = default;
};

/// Key of a client account.
struct account_key {
    std::string label; ///< Unique name for operators; reveals nothing about the key.
    key_hash hash{}; ///< SHA-256 of the key.
    account_id owner; ///< Account that requests with the key belong to.

    /// Memberwise equality.
    bool operator==(const account_key &) const = default;
};

/// One of the services among which a route's requests are split.
struct weighted_service {
    std::string service; ///< Name of the service.
    double weight = 1; ///< Share of the requests, relative to the other services of the route; 0 gets none.

    /// Memberwise equality.
    bool operator==(const weighted_service &) const = default;
};

/// Rule that sends matching requests to a service.
struct route {
    route_id id; ///< Id assigned by the control VMs.
    std::string host; ///< Lower-case host without port; empty matches any host.
    std::string pathPrefix = "/"; ///< Matches at segment boundaries; the longest match wins.
    std::string service; ///< Service whose instances serve the route, unless split is set.
    std::string kind; ///< Kind of request, as listed in account::kindOrder.
    bool openToAll = false; ///< Requests need no key.
    bool ordered = false; ///< Changes of one resource reach the service in the order in which they arrived.
    repeatability repeats = repeatability::ByMethod; ///< Whether the route's requests may be repeated.
    std::uint32_t timeoutMs = 0; ///< Deadline of a request in ms; 0 uses fleet_defaults::requestTimeoutMs.
    std::vector<weighted_service> split; ///< Weighted services that replace service; empty for a single service.
    std::uint32_t targetLatencyMs = 0; ///< Latency in ms within which an answer has its full value; 0 for none.
    std::uint32_t priority = 0; ///< Rank among the routes, 0 first.
    std::uint32_t maxAttempts = 0; ///< Instances that a request may be sent to; 0 leaves it to the retry limits.

    /// Memberwise equality.
    bool operator==(const route &) const = default;
};

/// Deviation from a default for one account or service, with its written reason.
struct setting_exception {
    std::string subject; ///< "account:NAME" or "service:NAME".
    std::string setting; ///< Name of a member of fleet_defaults.
    double value = 0; ///< Value in the unit of that member.
    std::string reason; ///< Reason for operators to read; never empty.

    /// Memberwise equality.
    bool operator==(const setting_exception &) const = default;
};

/// Limits on what callers may send; 0 leaves a limit to the VM's own settings.
struct caller_limits {
    std::uint32_t headerBytes = 0; ///< Maximum size of a request's first line and header fields.
    std::uint32_t bodyBytes = 0; ///< Maximum size of a request's body.
    std::uint32_t headerTimeoutMs = 0; ///< Maximum time from a request's first byte to the end of its header fields.
    std::uint32_t idleTimeoutMs = 0; ///< A caller's connection that sends nothing for longer is closed.

    /// Memberwise equality.
    bool operator==(const caller_limits &) const = default;
};

/// Limit of a service's cold instances, which are slow after their start and crash well above the limit.
struct service_warmup {
    std::string service; ///< Name of the service.
    std::uint32_t warmupMs = 0; ///< Time in ms for which an instance is cold after its start.
    double perSecond = 0; ///< Requests per second that a cold instance can handle, from all entry VMs together.

    /// Memberwise equality.
    bool operator==(const service_warmup &) const = default;
};

/// The whole accepted configuration at one revision.
struct configuration {
    revision atRevision; ///< Revision of this configuration; 0 for the empty configuration.
    fleet_defaults defaults; ///< Fleet-wide settings.
    std::vector<account> accounts; ///< Client accounts, ordered by id.
    std::vector<account_key> keys; ///< Keys of the accounts, ordered by label.
    std::vector<route> routes; ///< Routes, ordered by id.
    std::vector<setting_exception> exceptions; ///< Exceptions from defaults, ordered by subject, then setting.
    account_id lastAccountId; ///< Highest account id ever assigned; ids are never reused.
    route_id lastRouteId; ///< Highest route id ever assigned; ids are never reused.
    caller_limits limits; ///< Limits on what callers may send.
    std::uint64_t externalVersion = 0; ///< Version that an outside operator gave with replace_all; 0 before the first.
    std::string document; ///< What the outside operator sent, kept for reading it back; empty before the first.
    /// Orders to evacuate data centres, ordered by data centre. Not part of what replace_all replaces.
    std::vector<evacuation> evacuations;
    std::vector<service_warmup> warmups; ///< Services with a limit for cold instances, ordered by name.

    /// Memberwise equality.
    bool operator==(const configuration &) const = default;
};

} // namespace guavafront
