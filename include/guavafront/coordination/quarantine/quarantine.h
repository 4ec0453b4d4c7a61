#pragma once

#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/quarantine/fingerprint.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavafront
{

/// An instance died while it ran a request. Instance ids are never reused, so a set of these only grows.
struct request_at_instance {
    request_fingerprint request; ///< The request.
    instance_id instance; ///< Instance that died.

    /// Orders by request, then instance.
    bool operator==(const request_at_instance &) const = default;
};

/// A connection was lost with a request on it; becomes a death when the instance proves dead. Until then it counts for
/// nothing: a cut link loses connections of requests that are sound.
struct lost_request {
    request_at_instance attempt; ///< Request and instance.
    account_id account; ///< Its account, for operators.
    route_id route; ///< Its route, for operators.
    instant lostAt{}; ///< When the connection was lost.
};

/// Deaths that one request stands with.
struct death_record {
    request_fingerprint request; ///< The request.
    account_id account; ///< Its account; 0 when only others saw it.
    route_id route; ///< Its route; 0 when only others saw it.
    std::vector<instance_id> deadInstances; ///< Distinct instances, in order.
    std::vector<instance_id> forgiven; ///< Deaths that an operator's release took out, in order.
    instant lastDeath{}; ///< Newest one, as heard here.
};

/// Requests that are, or may become, held back. Ordered by request.
struct quarantine {
    std::vector<death_record> records; ///< Confirmed deaths.
    std::vector<lost_request> unconfirmedLosses; ///< Not confirmed yet, oldest first.
};

/// A connection closed before the whole answer; the request may be the cause.
void onConnectionLost(quarantine &state, const lost_request &lost);

/// The instance answered a request sent at that time: what it had lost earlier was not its death.
void onInstanceAlive(quarantine &state, instance_id instance, instant sentAt);

/// The instance is proved dead: refuses connections after losing one, let its lease run out, or was withdrawn. The
/// requests that it lost shortly before are counted, and returned for the other VMs.
std::vector<lost_request> onInstanceDied(quarantine &state, instance_id instance, instant now);

/// Another VM counted a death.
void recordDeath(quarantine &state, const lost_request &death, instant now);

/// An operator released a request: the deaths known until now no longer count.
std::optional<death_record> release(quarantine &state, request_fingerprint request, instant now);

/// Another VM heard of a release, with the deaths that it forgives.
void recordRelease(quarantine &state, request_fingerprint request, std::span<const instance_id> forgiven, instant now);

/// Whether the request is held back: seen last on at least `deaths` instances that died.
bool isQuarantined(const quarantine &state, request_fingerprint request, std::uint32_t deaths);

/// Whether any instance died of it, so that its failures are no evidence against another instance.
bool isSuspectRequest(const quarantine &state, request_fingerprint request);

/// Those held back, for operators.
std::vector<death_record> listQuarantined(const quarantine &state, std::uint32_t deaths);

/// Forgets records without a new death for longer than the retention, and losses that were not confirmed in time.
void expire(quarantine &state, instant now);

} // namespace guavafront
