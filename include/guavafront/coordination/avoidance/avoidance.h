#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <unordered_map>

namespace guavafront
{

/// What a VM saw at an instance and tells the whole fleet at once.
enum class instance_report_kind : std::uint8_t {
    Failed, ///< A try ended without a whole answer, or an answer is long overdue.
    ServerError, ///< The instance answered with a server error, which may be the request's fault.
    TrialStarted, ///< A request was sent to find out whether an avoided instance is sound again.
    Recovered, ///< An avoided instance gave a whole answer.
};

/// One sign, as it travels between VMs.
struct instance_report {
    instance_id instance; ///< Where.
    instance_report_kind kind = instance_report_kind::Failed; ///< What was seen.
    bool operator==(const instance_report &) const = default; ///< Memberwise equality.
};

/// Times of the avoidance. Instances here go gray for some seconds at a time and come back by themselves.
struct avoidance_limits {
    duration trialDelay = std::chrono::milliseconds(1'500); ///< Avoided so long after a failure, also a failed trial's.
    duration trialTimeout =
        std::chrono::milliseconds(1'500); ///< Another VM may try when a trial shows nothing so long.
    duration errorWindow = std::chrono::seconds(2); ///< So many server errors within it count as a failure.
    std::uint32_t errorThreshold = 3; ///< A healthy instance errs now and then.
    duration retention = std::chrono::seconds(20); ///< A quiet instance is forgotten after it.
};

/// Where an instance stands.
enum class avoidance_status : std::uint8_t {
    Open, ///< For every request.
    Trial, ///< One request may show whether it is sound again.
    Avoided, ///< Only when nothing else is left.
};

/// What is known of one instance in trouble.
struct avoidance_record {
    instant lastFailure{}; ///< Last sign of trouble.
    instant lastError{}; ///< Last server error.
    instant firstError{}; ///< First one of those that are counted.
    std::uint32_t errors = 0; ///< Counted ones.
    instant trialNotBefore{}; ///< Avoided until then.
    instant trialExpiresAt{}; ///< A trial runs until then at the latest.
    bool avoided = false; ///< Not shown sound since the last failure.
};

/// Instances that the fleet avoids: by the first failure that any VM sees, until a trial request succeeds.
struct avoidance {
    avoidance_limits limits; ///< As constructed.
    std::unordered_map<instance_id, avoidance_record> instances; ///< In trouble lately.
};

/// Takes a sign, an own one or another VM's; whether it is news that the others should hear.
bool recordInstanceReport(avoidance &state, const instance_report &report, instant now);

/// Where an instance stands now.
avoidance_status avoidanceStatusOf(const avoidance &state, instance_id instance, instant now);

/// When the instance last showed trouble; nothing known is long ago.
instant lastFailureOf(const avoidance &state, instance_id instance);

/// Forgets instances that were quiet for long.
void removeExpiredRecords(avoidance &state, instant now);

} // namespace guavafront
