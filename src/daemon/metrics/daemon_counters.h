#pragma once

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/entry/attempt_result.h>
#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/evacuation/evacuation.h>
#include <guavafront/coordination/upstreams/service_instance_counts.h>
#include <guavafront/coordination/warmup/warmup.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace guavafront
{

/// What a control VM's replica knows of its cluster.
struct control_gauges {
    bool leaderKnown = false; ///< This VM leads with a quorum, or a leader sent it a message lately.
    double secondsWithoutLeader = 0; ///< For how long no leader has been known; 0 while one is.
    std::size_t quorumSize = 0; ///< Votes that make a majority.
    std::size_t voters = 0; ///< Members that vote.
    std::size_t members = 0; ///< Voters and learners.
    bool isVoter = false; ///< This VM votes.
};

/// Metrics of one daemon, updated by all tasks and exported by the metrics task. The library's metrics are atomic,
/// which makes them the one exception to the rule that tasks share no state.
class daemon_counters
{
public:
    /// Creates all metrics at zero in a registry of their own.
    daemon_counters();

    /// Counts a request that was answered or refused. The code is Ok if an upstream answered, and the status is the one
    /// of its answer; accountName is empty on open routes.
    void countRequest(std::string_view service, std::string_view accountName, result_code code, std::uint16_t status);

    /// Records the time in seconds from a request's arrival to its end.
    void observeLatency(std::string_view service, double seconds);

    /// Counts an attempt that has ended.
    void countAttempt(std::string_view service, attempt_outcome outcome);

    /// Counts an attempt by what its instance was chosen by, and for an answered one whose cost was known, the
    /// difference between the expected and the observed time in seconds.
    void observePlacement(std::string_view service, const attempt_placement &placement, const attempt_result &result);

    /// Counts a trial of an avoided instance that has ended; reason is its stable name.
    void countTrial(std::string_view service, std::string_view reason, attempt_outcome outcome);

    /// Counts a request that wasn't sent again because the service's retry budget was spent.
    void countRefusedRetry(std::string_view service);

    /// Sets how many instances of a service are open, on trial, avoided, paused and leaving in this VM's view.
    void setInstanceCounts(std::string_view service, const service_instance_counts &counts);

    /// Sets whether a data centre is evacuated in this VM's view, and since when.
    void setEvacuation(const evacuation &state);

    /// Counts a request of a service with instances in an evacuated data centre: placed elsewhere, or refused.
    void countEvacuatedRequest(std::string_view service, bool placed);

    /// Sets for how long no control VM has confirmed that this VM's configuration is the newest.
    void setConfigurationAge(double seconds);

    /// Sets how many instances of a service are cold, and counts the requests sent to them and held back from them.
    void setWarmupCounts(std::string_view service, const warmup_counts &counts);

    /// Counts what an instance said of itself for the first time; notice is its stable name.
    void countNotice(std::string_view service, std::string_view notice);

    /// Counts a request that was refused while it waited for capacity.
    void countAdmissionRefusal(std::string_view service, std::uint32_t rank, admission_refusal reason);

    /// Records how long a request waited for capacity, and the error of the wait predicted for it.
    void observeAdmissionWait(std::string_view service, std::uint32_t rank, duration predicted, duration waited);

    /// Sets the revision of the configuration in force on this VM.
    void setRevision(std::uint64_t value);

    /// Counts an announcement that was accepted or refused.
    void countAnnouncement(result_code code);

    /// Counts a message of another VM that was dropped because it couldn't be decoded.
    void countDroppedPeerMessage(result_code code);

    /// Counts the departure of an instance that was acknowledged, or refused because too few control VMs held it.
    void countDeparture(bool acknowledged);

    /// Counts VMs that this one told of a departure in place of their homes.
    void countCoveredVms(std::size_t vms);

    /// Counts departures that were passed on again to a VM that hadn't confirmed them.
    void countRepeatedDepartures(std::size_t departures);

    /// Counts time for which the control task of this VM stood still.
    void countHeldUp(double seconds);

    /// Sets what this control VM's replica knows of its cluster.
    void setControlState(const control_gauges &gauges);

    /// Counts a vote or pre-vote that this control VM refused; reason is its stable name.
    void countVoteRefusal(std::string_view reason);

    /// Counts an operator's request.
    void countOperatorRequest(result_code code);

    /// Registry that holds all metrics, for the metrics task.
    prometheus::Registry &registry();

private:
    prometheus::Registry m_registry; ///< Owns all families.
    prometheus::Family<prometheus::Counter> &m_requests; ///< Callers' requests by service and result.
    prometheus::Family<prometheus::Counter> &m_accountRequests; ///< Callers' requests by client account and result.
    prometheus::Family<prometheus::Histogram> &m_latencies; ///< Request times in seconds by service.
    prometheus::Family<prometheus::Counter> &m_attempts; ///< Attempts by service and outcome.
    prometheus::Family<prometheus::Counter> &m_placements; ///< Attempts by service and by what their place was chosen.
    prometheus::Family<prometheus::Histogram>
        &m_placementErrors; ///< Expected less observed time in seconds by service.
    prometheus::Family<prometheus::Counter> &m_trials; ///< Trials by service, reason and outcome.
    prometheus::Family<prometheus::Counter> &m_refusedRetries; ///< Retries refused for want of budget, by service.
    prometheus::Family<prometheus::Counter> &m_notices; ///< Instances' words on themselves by service and notice.
    prometheus::Family<prometheus::Counter> &m_admissionRefusals; ///< Refusals at the queues by reason and rank.
    prometheus::Family<prometheus::Histogram> &m_admissionWaits; ///< Waits for capacity in seconds by rank.
    prometheus::Family<prometheus::Histogram> &m_admissionErrors; ///< Predicted minus actual waits in seconds.
    prometheus::Family<prometheus::Counter> &m_announcements; ///< Announcements by result.
    prometheus::Family<prometheus::Counter> &m_departures; ///< Departures by result.
    prometheus::Family<prometheus::Counter> &m_coveredVms; ///< VMs told of departures in place of their homes.
    prometheus::Family<prometheus::Counter> &m_repeatedDepartures; ///< Departures passed on again.
    prometheus::Family<prometheus::Counter> &m_heldUpSeconds; ///< Time for which the control task stood still.
    prometheus::Family<prometheus::Counter> &m_operatorRequests; ///< Operators' requests by result.
    prometheus::Family<prometheus::Counter> &m_droppedPeerMessages; ///< Dropped messages of other VMs by reason.
    prometheus::Family<prometheus::Gauge> &m_instances; ///< Serving instances by service and standing.
    prometheus::Family<prometheus::Gauge> &m_coldInstances; ///< Cold instances by service.
    prometheus::Family<prometheus::Counter>
        &m_coldRequests; ///< Requests by service: sent to cold instances or held back.
    prometheus::Family<prometheus::Gauge> &m_leaderKnown; ///< Whether a leader is known; control VMs only.
    prometheus::Family<prometheus::Gauge> &m_leaderlessSeconds; ///< Time without a leader; control VMs only.
    prometheus::Family<prometheus::Gauge> &m_quorumSize; ///< Votes that make a majority; control VMs only.
    prometheus::Family<prometheus::Gauge> &m_controlMembers; ///< Members by role; control VMs only.
    prometheus::Family<prometheus::Gauge> &m_isVoter; ///< Whether this VM votes; control VMs only.
    prometheus::Family<prometheus::Counter> &m_voteRefusals; ///< Refused votes and pre-votes by reason.
    prometheus::Family<prometheus::Gauge> &m_evacuated; ///< 1 for each evacuated data centre.
    prometheus::Family<prometheus::Gauge> &m_evacuationTimes; ///< Unix time of the latest order by data centre.
    prometheus::Family<prometheus::Counter> &m_evacuatedRequests; ///< Requests that an evacuation concerned.
    prometheus::Family<prometheus::Gauge> &m_configurationAge; ///< Time since the last confirmation; entry VMs only.
    prometheus::Gauge &m_revision; ///< Revision of the configuration in force.
};

/// Name of an outcome in metrics and in the decision log; stable.
std::string_view attemptOutcomeName(attempt_outcome outcome);

/// Name of a reason in metrics and in the decision log; stable.
std::string_view admissionRefusalName(admission_refusal reason);

} // namespace guavafront
