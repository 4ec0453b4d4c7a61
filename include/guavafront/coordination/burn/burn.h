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

/// Whom an objective is about.
enum class burn_subject_kind : std::uint8_t { Service, Account };

/// What an objective promises.
enum class burn_objective : std::uint8_t {
    Availability, ///< Requests end well.
    Latency, ///< Requests end in time.
};

/// One objective of one service or client account.
struct burn_subject {
    burn_subject_kind kind = burn_subject_kind::Service; ///< Whom it is about.
    burn_objective objective = burn_objective::Availability; ///< What it promises.
    std::string name; ///< Of the service or account.

    /// Orders by kind, objective and name.
    auto operator<=>(const burn_subject &) const = default; // NOLINT(modernize-use-nullptr): false on a defaulted <=>.
};

/// How a request's result counts.
enum class burn_event_class : std::uint8_t {
    Good, ///< An event that ended well.
    Bad, ///< An event that spends budget.
    Excluded, ///< No event: the caller's own doing.
};

/// Weight of a result as daemons' counters name it: "ok" is good; over_rate, key_missing, key_unknown and no_route are
/// excluded; all else is bad, names that this version doesn't know included.
burn_event_class classifyResult(std::string_view result);

/// Counters of one subject at one daemon since that daemon's start.
struct burn_reading {
    burn_subject subject; ///< Which one.
    double total = 0; ///< Events.
    double bad = 0; ///< Events that spend budget.
};

/// What one daemon's counters said at one time.
struct burn_sample {
    std::string source; ///< The daemon.
    duration at{}; ///< Since the Unix epoch, by the collector's clock.
    std::vector<burn_reading> readings; ///< A subject that is absent stands at 0.
};

/// Events of all daemons that came between one sample and the next.
struct burn_increment {
    duration at{}; ///< Time of the later sample.
    double total = 0; ///< Events.
    double bad = 0; ///< Events that spend budget.
};

/// Increments by subject, ordered by time.
using burn_history = std::map<burn_subject, std::vector<burn_increment>>;

/// Increments between the samples of each source; samples may come in any order. A source's first sample is only its
/// base. A counter that fell was reset by a restart, so that its whole value is new.
burn_history burnHistoryOf(std::span<const burn_sample> samples);

/// Alert on two windows: it fires while the burn rate of both is at least the threshold. Multi-window multi-burn-rate
/// alerting, Beyer et al. 2018, "The Site Reliability Workbook", chapter 5, "Alerting on SLOs".
struct burn_rule {
    std::string name; ///< What to do: "page" or "ticket".
    duration longWindow{}; ///< Shows that it matters.
    duration shortWindow{}; ///< Shows that it goes on; ends the alert soon after the fault.
    double threshold = 0; ///< Burn rate; 1 spends the budget in exactly the budget's period.
};

/// The three rules that the workbook recommends for a budget of 30 days (table 5-8).
std::vector<burn_rule> recommendedBurnRules();

/// Events in a window that ends now.
struct burn_window {
    duration length{}; ///< As asked.
    duration covered{}; ///< What the samples reach; shorter means that the figure is of this part only.
    double total = 0; ///< Events.
    double bad = 0; ///< Events that spend budget.
    double burnRate = 0; ///< Share of bad events over the share that the objective allows; 0 without events.
};

/// A rule's state for one subject.
struct burn_alert {
    burn_rule rule; ///< The rule.
    burn_window longWindow; ///< Of the rule's long window.
    burn_window shortWindow; ///< Of the rule's short window.
    bool firing = false; ///< Both burn rates reach the threshold.
};

/// Burn rate over one part of the time covered, for a plot.
struct burn_point {
    duration at{}; ///< End of the part.
    double burnRate = 0; ///< Over the part; 0 without events.
};

/// All that the report says of one subject.
struct burn_state {
    burn_subject subject; ///< Which one.
    double objectivePercent = 0; ///< Share of events that must be good.
    burn_window periodWindow; ///< Over the budget's period.
    double budgetLeft = 1; ///< Of the period's budget; below 0 when more was spent.
    std::vector<burn_alert> alerts; ///< One for each rule.
    std::vector<burn_point> points; ///< In order of time, at even distances.
};

/// How a report is worked out.
struct burn_policy {
    duration period = std::chrono::hours(24 * 30); ///< The budget is for so long.
    std::vector<burn_rule> rules = recommendedBurnRules(); ///< Alerts.
    std::size_t pointCount = 60; ///< Parts of the covered time in a plot.
};

/// Time that samples cover.
struct burn_time_range {
    duration from{}; ///< First sample.
    duration to{}; ///< Last sample: the report's "now".
};

/// From the first to the last sample; samples are not empty.
burn_time_range sampledTimeRange(std::span<const burn_sample> samples);

/// State of one subject at the end of the covered time; objectivePercent is above 0 and below 100.
burn_state burnStateOf(const burn_subject &subject, std::span<const burn_increment> increments,
                       const burn_time_range &range, double objectivePercent, const burn_policy &policy);

/// Whether any alert of the subject fires.
bool isFiring(const burn_state &state);

} // namespace guavafront
