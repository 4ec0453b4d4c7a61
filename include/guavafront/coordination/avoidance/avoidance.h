#pragma once

#include <guavafront/coordination/avoidance/episode_lengths.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace guavafront
{

/// What a VM observed at an instance.
enum class instance_report_kind : std::uint8_t {
    Failed, ///< An attempt ended without a complete answer, or its answer is long overdue.
    ServerError, ///< The instance answered with a server error, which the request itself may have caused.
    TrialStarted, ///< A request was sent to find out whether an avoided instance works again.
    Recovered, ///< An avoided instance gave a complete answer.
    Leaving, ///< The instance said that it leaves, which is no failure; see instance_notices.
};

/// One observation of one instance, which a VM sends to all others at once.
struct instance_report {
    instance_id instance; ///< The observed instance.
    instance_report_kind kind = instance_report_kind::Failed; ///< What was observed.
    bool operator==(const instance_report &) const = default; ///< Memberwise equality.
};

/// Times and thresholds of the avoidance. They fit instances that fail for some seconds at a time and recover by
/// themselves.
struct avoidance_limits {
    /// Time after a failure, also of a trial, before a trial request may be sent.
    duration trialDelay = std::chrono::milliseconds(1'500);
    /// Time after the start of a trial without a result, after which another VM may start one.
    duration trialTimeout = std::chrono::milliseconds(1'500);
    /// Server errors within this time are counted together.
    duration errorWindow = std::chrono::seconds(2);
    /// Server errors within errorWindow that count as a failure. Healthy instances return single server errors.
    std::uint32_t errorThreshold = 3;
    /// Time after its last failure during which an instance that has answered a trial isn't chosen for a retry while
    /// another one is open, since a gray instance also answers some requests.
    duration doubtTime = std::chrono::seconds(4);
    /// Time after its last failure or server error until an instance's record is removed.
    duration retention = std::chrono::seconds(20);
};

/// Which requests may be sent to an instance.
enum class avoidance_status : std::uint8_t {
    Open, ///< All requests.
    Trial, ///< One request, which shows whether the instance works again.
    Avoided, ///< Requests for which no open instance and no trial is left.
};

/// Failures and errors of one instance.
struct avoidance_record {
    instant lastFailure{}; ///< Time of the last failure.
    instant lastError{}; ///< Time of the last server error.
    instant firstError{}; ///< Time of the first server error counted in errors.
    std::uint32_t errors = 0; ///< Server errors counted since firstError.
    instant trialNotBefore{}; ///< No trial is started earlier.
    instant trialExpiresAt{}; ///< Another trial may start then, although the current one has no result.
    bool avoided = false; ///< The instance has failed and hasn't recovered since.
    /// Start of the last failure episode; absent when the failure may be one of this VM's path to the instance.
    std::optional<instant> episodeStartedAt;
    instant recoveredAt{}; ///< Time of the last recovery.
};

/// Instances that the fleet avoids. One failure that any VM observes suffices; a successful trial request ends it.
struct avoidance {
    avoidance_limits limits; ///< Times and thresholds.
    std::unordered_map<instance_id, avoidance_record> instances; ///< Instances with a recent failure or server error.
};

/// Records a report of this VM or of another one. Returns whether the report is news that this VM, if it observed it,
/// sends to the other VMs. The lengths are those of the instance's service, which learns from the report; null when the
/// service isn't known.
bool recordInstanceReport(avoidance &state, const instance_report &report, instant now,
                          episode_lengths *lengths = nullptr);

/// Records a failure that possibly concerns only this VM, from which the lengths of episodes aren't learned.
void recordOwnFailure(avoidance &state, instance_id instance, instant now);

/// Which requests may be sent to the instance now.
avoidance_status avoidanceStatusOf(const avoidance &state, instance_id instance, instant now);

/// Since when a trial of an avoided instance may be started.
instant trialAllowedSince(const avoidance &state, instance_id instance);

/// Time of the instance's last failure; the beginning of time without a record.
instant lastFailureOf(const avoidance &state, instance_id instance);

/// Time between the first and the last failure of the instance's failure episode.
duration episodeAge(const avoidance &state, instance_id instance);

/// Whether the instance failed within the last seconds, so that one answer doesn't prove yet that it has recovered.
bool failedRecently(const avoidance &state, instance_id instance, instant now);

/// Removes the records of instances without a failure or server error for longer than the retention.
void removeExpiredRecords(avoidance &state, instant now);

} // namespace guavafront
