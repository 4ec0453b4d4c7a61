#pragma once

#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/quarantine/fingerprint.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavafront
{

/// A request and the instance that it was sent to.
struct request_at_instance {
    request_fingerprint request; ///< The request.
    instance_id instance; ///< The instance. Ids are never reused, so a set of instances that died only grows.

    /// Memberwise equality.
    bool operator==(const request_at_instance &) const = default;
};

/// A request whose connection to its instance was lost. It counts as a death once the instance is known to be dead.
/// Until then it counts for nothing, since a cut link also loses the connections of harmless requests.
struct lost_request {
    request_at_instance attempt; ///< The request and its instance.
    account_id account; ///< Account of the request, shown to operators.
    route_id route; ///< Route of the request, shown to operators.
    instant lostAt{}; ///< When the connection was lost.
};

/// Instances that died while they ran one request.
struct death_record {
    request_fingerprint request; ///< The request.
    account_id account; ///< Account of the request; 0 when no death has been recorded yet, only a release.
    route_id route; ///< Route of the request; 0 when no death has been recorded yet, only a release.
    std::vector<instance_id> deadInstances; ///< Distinct instances that died, in order of id.
    std::vector<instance_id>
        forgiven; ///< Instances whose deaths don't count after an operator's release, in order of id.
    instant lastDeath{}; ///< When this VM last recorded a death, or created the record.
};

/// Requests that are in quarantine, or may come into it.
struct quarantine {
    std::vector<death_record> records; ///< Confirmed deaths, ordered by request.
    std::vector<lost_request> unconfirmedLosses; ///< Lost requests whose instance may be alive, oldest first.
};

/// Records that a connection closed before the answer was complete; the request may have killed the instance.
void onConnectionLost(quarantine &state, const lost_request &lost);

/// Drops what the instance lost before sentAt: it has answered a request sent at that time, so it was alive.
void onInstanceAlive(quarantine &state, instance_id instance, instant sentAt);

/// Counts the requests that the instance lost shortly before as deaths and returns them, for the other VMs. To be
/// called when the instance is known to be dead: it refuses connections after one was lost, its lease expired, or it
/// was withdrawn.
std::vector<lost_request> onInstanceDied(quarantine &state, instance_id instance, instant now);

/// Records a death, such as one that another VM has counted.
void recordDeath(quarantine &state, const lost_request &death, instant now);

/// Releases a request for an operator: the deaths recorded so far no longer count. Returns the record with these deaths
/// in forgiven; nothing when no death of the request counts.
std::optional<death_record> release(quarantine &state, request_fingerprint request, instant now);

/// Records a release that another VM has published, with the instances whose deaths it forgives.
void recordRelease(quarantine &state, request_fingerprint request, std::span<const instance_id> forgiven, instant now);

/// Whether the request is held back: at least `deaths` instances died while they ran it.
bool isQuarantined(const quarantine &state, request_fingerprint request, std::uint32_t deaths);

/// Whether any instance died while it ran the request, so that its failures are no evidence against another instance.
bool isSuspectRequest(const quarantine &state, request_fingerprint request);

/// Records of the requests that are held back, for operators.
std::vector<death_record> listQuarantined(const quarantine &state, std::uint32_t deaths);

/// Removes records without a new death for longer than the retention, and losses that were not confirmed in time.
void expire(quarantine &state, instant now);

} // namespace guavafront
