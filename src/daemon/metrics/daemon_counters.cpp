#include "daemon/metrics/daemon_counters.h"

#include <algorithm>
#include <chrono>

namespace guavafront
{

namespace
{

/// Upper bounds of the buckets of request times, in seconds.
const prometheus::Histogram::BucketBoundaries latencyBoundsSeconds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                                   0.2,   0.3,   0.5,   1.0,  2.0,  5.0,  10.0};

/// Upper bounds of the buckets of predicted minus actual waits, in seconds.
const prometheus::Histogram::BucketBoundaries errorBoundsSeconds{-2.0, -1.0, -0.5, -0.2, -0.1, -0.05, 0.0,
                                                                 0.05, 0.1,  0.2,  0.5,  1.0,  2.0};

/// Label of a rank: the priorities of account and route, each bounded so that the number of labels is.
std::string rankLabel(std::uint32_t rank)
{
    constexpr std::uint32_t routeRanks = 1'000;
    constexpr std::uint32_t lastShown = 4;
    return std::to_string(std::min(rank / routeRanks, lastShown)) + "."
           + std::to_string(std::min(rank % routeRanks, lastShown));
}

prometheus::Family<prometheus::Counter> &counterFamily(prometheus::Registry &registry, const std::string &name,
                                                       const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gaugeFamily(prometheus::Registry &registry, const std::string &name,
                                                   const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

/// Result of a request in metrics: "ok" for an answer of an upstream with a status below 500, "upstream_error" for
/// its other answers, and the name of the code for a refusal.
std::string resultName(result_code code, std::uint16_t status)
{
    constexpr std::uint16_t firstServerError = 500;
    if (code != result_code::Ok) {
        return std::string(describe(code).name);
    }
    return status < firstServerError ? "ok" : "upstream_error";
}

} // namespace

std::string_view attemptOutcomeName(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::Answered:
        return "answered";
    case attempt_outcome::RefusedNotRun:
        return "refused_not_run";
    case attempt_outcome::ConnectFailed:
        return "connect_failed";
    case attempt_outcome::ClosedEarly:
        return "closed_early";
    case attempt_outcome::AnswerIncomplete:
        return "answer_incomplete";
    case attempt_outcome::TimedOut:
        return "timed_out";
    case attempt_outcome::Cancelled:
        break;
    }
    return "cancelled";
}

std::string_view admissionRefusalName(admission_refusal reason)
{
    return reason == admission_refusal::WaitTooLong ? "wait_too_long" : "queue_full";
}

daemon_counters::daemon_counters()
    : m_requests(counterFamily(m_registry, "guavafront_requests_total", "Callers' requests by service and result."))
    , m_accountRequests(counterFamily(m_registry, "guavafront_account_requests_total",
                                      "Callers' requests by client account and result."))
    , m_latencies(prometheus::BuildHistogram()
                      .Name("guavafront_request_seconds")
                      .Help("From a request's arrival to its end.")
                      .Register(m_registry))
    , m_attempts(counterFamily(m_registry, "guavafront_attempts_total", "Tries at upstreams by service and outcome."))
    , m_placements(counterFamily(m_registry, "guavafront_placements_total",
                                 "Tries at upstreams by service and by what the instance was chosen: work or load."))
    , m_placementErrors(prometheus::BuildHistogram()
                            .Name("guavafront_placement_error_seconds")
                            .Help("Expected work and wait of answered tries less the time that they took, by service.")
                            .Register(m_registry))
    , m_trials(counterFamily(m_registry, "guavafront_trials_total",
                             "Trials of avoided instances by service, reason and outcome."))
    , m_refusedRetries(counterFamily(m_registry, "guavafront_retries_refused_total",
                                     "Requests not sent again because the retry budget was spent, by service."))
    , m_notices(counterFamily(m_registry, "guavafront_instance_notices_total",
                              "Instances' words on themselves in answers, by service and notice."))
    , m_admissionRefusals(counterFamily(m_registry, "guavafront_admission_refusals_total",
                                        "Requests refused while they waited for capacity, by service, reason and "
                                        "rank."))
    , m_admissionWaits(prometheus::BuildHistogram()
                           .Name("guavafront_admission_wait_seconds")
                           .Help("Wait for capacity of the requests that had to wait and were sent, by service and "
                                 "rank.")
                           .Register(m_registry))
    , m_admissionErrors(prometheus::BuildHistogram()
                            .Name("guavafront_admission_prediction_error_seconds")
                            .Help("Predicted minus actual wait for capacity, by service.")
                            .Register(m_registry))
    , m_announcements(counterFamily(m_registry, "guavafront_announcements_total", "Announcements by result."))
    , m_departures(counterFamily(m_registry, "guavafront_departures_total",
                                 "Departures that instances told this VM: acknowledged, or refused because too few "
                                 "control VMs held them."))
    , m_coveredVms(counterFamily(m_registry, "guavafront_departures_covered_total",
                                 "VMs that this VM told of a departure because none of their homes confirmed it in "
                                 "time."))
    , m_repeatedDepartures(counterFamily(m_registry, "guavafront_departures_repeated_total",
                                         "Departures passed on again to VMs that hadn't confirmed them."))
    , m_heldUpSeconds(counterFamily(m_registry, "guavafront_control_held_up_seconds_total",
                                    "Time by which the control task of this VM ran late."))
    , m_operatorRequests(
          counterFamily(m_registry, "guavafront_operator_requests_total", "Operators' requests by result."))
    , m_droppedPeerMessages(counterFamily(m_registry, "guavafront_peer_messages_dropped_total",
                                          "Other VMs' messages that could not be decoded, by reason."))
    , m_instances(gaugeFamily(m_registry, "guavafront_instances",
                              "Serving instances by service and standing: open, trial, avoided, paused, leaving "
                              "or evacuated."))
    , m_coldInstances(gaugeFamily(m_registry, "guavafront_cold_instances",
                                  "Instances by service that are cold, in this VM's view."))
    , m_coldRequests(counterFamily(m_registry, "guavafront_cold_instance_requests_total",
                                   "Requests by service and decision: sent to a cold instance, or held back from one."))
    , m_leaderKnown(gaugeFamily(m_registry, "guavafront_control_leader_known",
                                "1 while this control VM knows a leader of the control cluster."))
    , m_leaderlessSeconds(gaugeFamily(m_registry, "guavafront_control_leaderless_seconds",
                                      "For how long this control VM has known no leader; 0 while it knows one."))
    , m_quorumSize(gaugeFamily(m_registry, "guavafront_control_quorum_size",
                               "Votes that make a majority, by this control VM's log."))
    , m_controlMembers(gaugeFamily(m_registry, "guavafront_control_members",
                                   "Members of the control cluster by role, by this control VM's log."))
    , m_isVoter(gaugeFamily(m_registry, "guavafront_control_is_voter", "1 while this control VM votes, by its log."))
    , m_voteRefusals(counterFamily(m_registry, "guavafront_control_votes_refused_total",
                                   "Votes and pre-votes that this control VM refused, by reason."))
    , m_evacuated(gaugeFamily(m_registry, "guavafront_evacuated",
                              "1 while this VM sends nothing to the data centre's instances, by order of the "
                              "operator; 0 after the revocation."))
    , m_evacuationTimes(gaugeFamily(m_registry, "guavafront_evacuation_order_timestamp_seconds",
                                    "When the latest order about the data centre was taken, by the control leader's "
                                    "clock."))
    , m_evacuatedRequests(counterFamily(m_registry, "guavafront_evacuation_requests_total",
                                        "Requests of services with instances in evacuated data centres, by service "
                                        "and result: placed elsewhere, or refused since there is no other instance."))
    , m_configurationAge(gaugeFamily(m_registry, "guavafront_configuration_confirmed_seconds",
                                     "How long ago the control VMs confirmed that nothing newer than this VM's "
                                     "configuration was accepted."))
    , m_revision(prometheus::BuildGauge()
                     .Name("guavafront_configuration_revision")
                     .Help("Revision of the configuration in force on this VM.")
                     .Register(m_registry)
                     .Add({}))
{
}

void daemon_counters::countRequest(std::string_view service, std::string_view accountName, result_code code,
                                   std::uint16_t status)
{
    const std::string result = resultName(code, status);
    m_requests.Add({{"service", std::string(service)}, {"result", result}}).Increment();
    if (!accountName.empty()) {
        m_accountRequests.Add({{"account", std::string(accountName)}, {"result", result}}).Increment();
    }
}

void daemon_counters::observeLatency(std::string_view service, double seconds)
{
    m_latencies.Add({{"service", std::string(service)}}, latencyBoundsSeconds).Observe(seconds);
}

void daemon_counters::countAttempt(std::string_view service, attempt_outcome outcome)
{
    m_attempts.Add({{"service", std::string(service)}, {"outcome", std::string(attemptOutcomeName(outcome))}})
        .Increment();
}

void daemon_counters::observePlacement(std::string_view service, const attempt_placement &placement,
                                       const attempt_result &result)
{
    m_placements.Add({{"service", std::string(service)}, {"by", placement.byWork ? "work" : "load"}}).Increment();
    if (result.outcome == attempt_outcome::Answered && placement.expectedWork > duration::zero()) {
        const duration expected = placement.expectedWork + placement.expectedWait;
        m_placementErrors.Add({{"service", std::string(service)}}, errorBoundsSeconds)
            .Observe(std::chrono::duration<double>(expected - (result.latency - result.connectTime)).count());
    }
}

void daemon_counters::countTrial(std::string_view service, std::string_view reason, attempt_outcome outcome)
{
    m_trials
        .Add({{"service", std::string(service)},
              {"reason", std::string(reason)},
              {"outcome", std::string(attemptOutcomeName(outcome))}})
        .Increment();
}

void daemon_counters::countRefusedRetry(std::string_view service)
{
    m_refusedRetries.Add({{"service", std::string(service)}}).Increment();
}

void daemon_counters::setInstanceCounts(std::string_view service, const service_instance_counts &counts)
{
    const auto set = [this, service](const char *name, std::uint32_t count) {
        m_instances.Add({{"service", std::string(service)}, {"standing", name}}).Set(count);
    };
    set("open", counts.open);
    set("trial", counts.trial);
    set("avoided", counts.avoided);
    set("paused", counts.paused);
    set("leaving", counts.leaving);
    set("evacuated", counts.evacuated);
}

void daemon_counters::setEvacuation(const evacuation &state)
{
    constexpr double millisecondsPerSecond = 1'000;
    const std::uint64_t orderedMs = state.inForce ? state.startedMs : state.endedMs;
    m_evacuated.Add({{"data_centre", state.dataCentre}}).Set(state.inForce ? 1 : 0);
    m_evacuationTimes.Add({{"data_centre", state.dataCentre}})
        .Set(static_cast<double>(orderedMs) / millisecondsPerSecond);
}

void daemon_counters::countEvacuatedRequest(std::string_view service, bool placed)
{
    m_evacuatedRequests.Add({{"service", std::string(service)}, {"result", placed ? "placed" : "refused"}}).Increment();
}

void daemon_counters::setConfigurationAge(double seconds)
{
    m_configurationAge.Add({}).Set(seconds);
}

void daemon_counters::setWarmupCounts(std::string_view service, const warmup_counts &counts)
{
    m_coldInstances.Add({{"service", std::string(service)}}).Set(counts.cold);
    m_coldRequests.Add({{"service", std::string(service)}, {"decision", "sent"}}).Increment(counts.sent);
    m_coldRequests.Add({{"service", std::string(service)}, {"decision", "held_back"}}).Increment(counts.heldBack);
}

void daemon_counters::countNotice(std::string_view service, std::string_view notice)
{
    m_notices.Add({{"service", std::string(service)}, {"notice", std::string(notice)}}).Increment();
}

void daemon_counters::countAdmissionRefusal(std::string_view service, std::uint32_t rank, admission_refusal reason)
{
    m_admissionRefusals
        .Add({{"service", std::string(service)},
              {"reason", std::string(admissionRefusalName(reason))},
              {"rank", rankLabel(rank)}})
        .Increment();
}

void daemon_counters::observeAdmissionWait(std::string_view service, std::uint32_t rank, duration predicted,
                                           duration waited)
{
    m_admissionWaits.Add({{"service", std::string(service)}, {"rank", rankLabel(rank)}}, latencyBoundsSeconds)
        .Observe(std::chrono::duration<double>(waited).count());
    m_admissionErrors.Add({{"service", std::string(service)}}, errorBoundsSeconds)
        .Observe(std::chrono::duration<double>(predicted - waited).count());
}

void daemon_counters::setRevision(std::uint64_t value)
{
    m_revision.Set(static_cast<double>(value));
}

void daemon_counters::countAnnouncement(result_code code)
{
    m_announcements.Add({{"result", std::string(describe(code).name)}}).Increment();
}

void daemon_counters::countDeparture(bool acknowledged)
{
    m_departures.Add({{"result", acknowledged ? "acknowledged" : "refused"}}).Increment();
}

void daemon_counters::countRepeatedDepartures(std::size_t departures)
{
    m_repeatedDepartures.Add({}).Increment(static_cast<double>(departures));
}

void daemon_counters::countCoveredVms(std::size_t vms)
{
    m_coveredVms.Add({}).Increment(static_cast<double>(vms));
}

void daemon_counters::countHeldUp(double seconds)
{
    m_heldUpSeconds.Add({}).Increment(seconds);
}

void daemon_counters::countDroppedPeerMessage(result_code code)
{
    m_droppedPeerMessages.Add({{"result", std::string(describe(code).name)}}).Increment();
}

void daemon_counters::setControlState(const control_gauges &gauges)
{
    const auto set = [](prometheus::Family<prometheus::Gauge> &family, double value) {
        family.Add({}).Set(value);
    };
    set(m_leaderKnown, gauges.leaderKnown ? 1 : 0);
    set(m_leaderlessSeconds, gauges.secondsWithoutLeader);
    set(m_quorumSize, static_cast<double>(gauges.quorumSize));
    set(m_isVoter, gauges.isVoter ? 1 : 0);
    m_controlMembers.Add({{"role", "voter"}}).Set(static_cast<double>(gauges.voters));
    m_controlMembers.Add({{"role", "learner"}}).Set(static_cast<double>(gauges.members - gauges.voters));
}

void daemon_counters::countVoteRefusal(std::string_view reason)
{
    m_voteRefusals.Add({{"reason", std::string(reason)}}).Increment();
}

void daemon_counters::countOperatorRequest(result_code code)
{
    m_operatorRequests.Add({{"result", std::string(describe(code).name)}}).Increment();
}

prometheus::Registry &daemon_counters::registry()
{
    return m_registry;
}

} // namespace guavafront
