#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Whether a service level objective is set for a service or for a client account.
enum class burn_subject_kind : std::uint8_t { Service, Account };

/// What a service level objective measures.
enum class burn_objective : std::uint8_t {
    Availability, ///< Share of requests that succeed.
    Latency, ///< Share of requests that are answered within a time limit.
};

/// One service level objective of one service or client account.
struct burn_subject {
    burn_subject_kind kind = burn_subject_kind::Service; ///< Whether the objective is of a service or an account.
    burn_objective objective = burn_objective::Availability; ///< What the objective measures.
    std::string name; ///< Name of the service or account.

    /// Orders by kind, objective and name.
    auto operator<=>(const burn_subject &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// How a request's result counts towards an availability objective.
enum class burn_event_class : std::uint8_t {
    Good, ///< Counted as a success.
    Bad, ///< Counted as a failure, which spends error budget.
    Excluded, ///< Not counted, because the caller caused it.
};

/// Classifies a result by its name in the daemons' counters: "ok" is good; over_rate, key_missing, key_unknown and
/// no_route are excluded; everything else is bad, including names that this version does not know.
burn_event_class classifyResult(std::string_view result);

/// Event counters of one subject at one daemon, counted since the daemon's start.
struct burn_reading {
    burn_subject subject; ///< Subject of the counters.
    double total = 0; ///< Good and bad events.
    double bad = 0; ///< Events that spend error budget.
};

/// Values of one daemon's counters at one time.
struct burn_sample {
    std::string source; ///< Name of the daemon.
    duration at{}; ///< Time of the sample since the Unix epoch, by the collector's clock.
    std::vector<burn_reading> readings; ///< Counters by subject; those of an absent subject are 0.
};

/// Events counted between two successive samples of a daemon.
struct burn_increment {
    duration at{}; ///< Time of the later sample.
    double total = 0; ///< Good and bad events.
    double bad = 0; ///< Events that spend error budget.
};

/// Increments of all daemons by subject, ordered by time.
using burn_history = std::map<burn_subject, std::vector<burn_increment>>;

/// Computes the increments between the successive samples of each daemon. Samples may be in any order. A daemon's first
/// sample is only the baseline of its next one. If a counter has fallen, the daemon was restarted, and the whole value
/// counts as new.
burn_history burnHistoryOf(std::span<const burn_sample> samples);

/// Alerting rule with two windows: the alert fires while the burn rates in both are at least the threshold. See
/// multi-window multi-burn-rate alerting in Beyer et al. 2018, "The Site Reliability Workbook", chapter 5, "Alerting on
/// SLOs".
struct burn_rule {
    std::string name; ///< Action that the alert calls for: "page" or "ticket".
    duration longWindow{}; ///< Keeps short faults that spend little budget from alerting.
    duration shortWindow{}; ///< Shows that the fault is still going on, so that the alert ends soon after it.
    /// Burn rate from which the alert fires. A burn rate of 1 spends the error budget in exactly its period.
    double threshold = 0;
};

/// Returns the three rules that "The Site Reliability Workbook" recommends for a budget of 30 days (table 5-8).
std::vector<burn_rule> recommendedBurnRules();

/// Events in a time window that ends with the latest sample.
struct burn_window {
    duration length{}; ///< Length of the window.
    duration covered{}; ///< Part of the window that the samples cover. If it is shorter than the window, the other
                        ///< members describe this part only.
    double total = 0; ///< Good and bad events.
    double bad = 0; ///< Events that spend error budget.
    double burnRate = 0; ///< Share of bad events divided by the share that the objective allows; 0 without events.
};

/// State of one alerting rule for one subject.
struct burn_alert {
    burn_rule rule; ///< Rule that is evaluated.
    burn_window longWindow; ///< Events in the rule's long window.
    burn_window shortWindow; ///< Events in the rule's short window.
    bool firing = false; ///< Whether both burn rates reach the threshold.
};

/// Burn rate in one of the equal intervals that a plot is made of.
struct burn_point {
    duration at{}; ///< End of the interval, since the Unix epoch.
    double burnRate = 0; ///< Burn rate in the interval; 0 without events.
};

/// Everything that a report shows about one subject.
struct burn_state {
    burn_subject subject; ///< Subject of the other members.
    double objectivePercent = 0; ///< Share of events that must be good, in percent.
    burn_window periodWindow; ///< Events in the period of the error budget.
    /// Share of the period's error budget that is left; negative when more than the whole budget was spent.
    double budgetLeft = 1;
    std::vector<burn_alert> alerts; ///< One for each rule, in the order of the rules.
    std::vector<burn_point> points; ///< Plot of the burn rate in order of time; empty if the samples cover no time.
};

/// Parameters of a report.
struct burn_policy {
    duration period = std::chrono::hours(24 * 30); ///< Period that the error budget is for.
    std::vector<burn_rule> rules = recommendedBurnRules(); ///< Rules that are evaluated for each subject.
    std::size_t pointCount = 60; ///< Number of equal intervals into which a plot divides the sampled time.
};

/// Time range of a set of samples.
struct burn_time_range {
    duration from{}; ///< Time of the first sample.
    duration to{}; ///< Time of the last sample, at which all windows of a report end.
};

/// Returns the range from the first to the last sample. There must be at least one.
burn_time_range sampledTimeRange(std::span<const burn_sample> samples);

/// Computes the state of one subject at the end of the range. Increments must be in order of time, and objectivePercent
/// must be above 0 and below 100.
burn_state burnStateOf(const burn_subject &subject, std::span<const burn_increment> increments,
                       const burn_time_range &range, double objectivePercent, const burn_policy &policy);

/// Returns whether any of the subject's alerts fires.
bool isFiring(const burn_state &state);

} // namespace guavafront
