#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/claims/claims.h>
#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/entry/attempt_result.h>
#include <guavafront/coordination/entry/request_head.h>
#include <guavafront/coordination/limits/ledger.h>
#include <guavafront/coordination/limits/limiter.h>
#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/quarantine/quarantine.h>
#include <guavafront/coordination/registry/announcement.h>
#include <guavafront/coordination/registry/departure.h>
#include <guavafront/coordination/registry/instance_news.h>
#include <guavafront/coordination/upstreams/upstream_selection.h>
#include <guavafront/coordination/work/work_sharing.h>

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace guavafront
{

/// A caller's complete request arrived.
struct request_arrived {
    request_head head; ///< Properties of the request; the views are valid for this step only.
};

/// An attempt that start_attempt began has ended.
struct attempt_ended {
    exchange_id id; ///< Request of the attempt.
    attempt_result result; ///< How the attempt ended.
    std::vector<std::byte> answer; ///< Answer to store for resends; set if the request was answered and has a claim.
};

/// The caller disconnected before it was answered.
struct caller_left {
    exchange_id id; ///< Request of the caller.
};

/// A newer configuration was accepted and is to be applied.
struct configuration_changed {
    std::shared_ptr<const configuration> value; ///< Never null; revisions older than the active one are ignored.
};

/// How fresh this VM's configuration is known to be.
struct freshness_changed {
    instant confirmedAt; ///< Last time that the control VMs, over any path, confirmed that nothing newer was accepted.
    revision accepted; ///< Highest revision that the control VMs are known to have accepted.
    term leaderTerm; ///< Term of the leader whose beacon says so, for operators.
    std::uint64_t beaconCounter = 0; ///< Number of that beacon in its term, for operators.
};

/// An instance announced itself at this VM.
struct instance_announced {
    announcement announced; ///< Contents of the announcement.
};

/// An instance announced at this VM that it has stopped for good.
struct instance_left {
    std::string name; ///< Name of the instance.
    std::uint64_t born = 0; ///< Start time of the instance's process in Unix milliseconds; 0 matches any.
};

/// Another VM receives the announcements of an instance.
struct instance_reported {
    vm_id registrar; ///< VM that receives the announcements.
    announcement announced; ///< Latest announcement.
    news_path path = news_path::SpreadMap; ///< How this VM learned of it; for operators.
    vm_id from; ///< VM that sent it; 0 if the replicated map brought it.
};

/// Another VM no longer receives the announcements of an instance.
struct instance_withdrawn {
    vm_id registrar; ///< VM that received them.
    instance_id instance; ///< Instance that was withdrawn.
};

/// Another VM, or another task of this one, was told that an instance takes no more requests.
struct departure_reported {
    departure what; ///< The departure.
    vm_id from; ///< VM that passed it on; 0 for a task of this VM.
};

/// A VM that receives announcements became unreachable or reachable again.
struct vm_reachability_changed {
    vm_id vm; ///< VM that changed.
    bool reachable = false; ///< Whether the VM is a live member of the fleet.
};

/// The fleet's membership changed.
struct fleet_changed {
    fleet_summary view; ///< Live VMs.
    entry_vm_view entries; ///< The entry VMs, this one included.
};

/// Another VM reported its view of the upstream instances' health.
struct health_reported {
    vm_id reporter; ///< VM that reported.
    health_report report; ///< Complete view; replaces the VM's previous report.
};

/// Another VM's health report no longer counts, because the VM is gone.
struct health_report_lost {
    vm_id reporter; ///< VM that had reported.
};

/// Another VM reported that an instance crashed while it ran a request.
struct death_reported {
    lost_request death; ///< Request and instance; the time is by the other VM's clock and is ignored.
};

/// An operator released a request from quarantine at this VM.
struct request_released {
    request_fingerprint request; ///< Released request.
};

/// An operator released a request from quarantine at another VM.
struct release_reported {
    request_fingerprint request; ///< Released request.
    std::vector<instance_id> forgiven; ///< Instances whose crash no longer counts against the request.
};

/// The other VMs have lost the state that this VM published, so it must be published again.
struct publications_lost {
};

/// A planned stop of this VM is about to begin; until then it takes requests still.
struct stop_planned {
};

/// A planned stop of this VM has begun.
struct stop_requested {
};

/// During a planned stop this VM takes no more requests. Those that it has taken may run until the end.
struct intake_closed {
    instant runsEndAt; ///< When the remaining requests end; see runs_ended.
};

/// The time of a planned stop is used up: each remaining request ends at once, with an answer for its caller.
struct runs_ended {
};

/// Another VM broadcast evidence of an instance's failure or recovery.
struct evidence_received {
    instance_report evidence; ///< Observation of the other VM.
};

/// The set of control VMs that may keep accounts' ledgers changed.
struct ledger_owners_changed {
    std::vector<vm_id> owners; ///< Live control VMs in ascending order.
};

/// A ledger's owner answered a report.
struct ledger_statement_received {
    ledger_statement statement; ///< Contents of the answer.
};

/// A hub sent the load of instances.
struct hub_loads_received {
    std::vector<instance_load> loads; ///< Number of requests at each instance, summed over VMs by the hub.
    std::vector<shared_estimate> estimates; ///< What requests of routes take, as all VMs observed.
};

/// Another VM asked for all known instances, in case they differ from its own.
struct known_instances_requested {
    vm_id from; ///< VM that asked.
    std::uint64_t fingerprint = 0; ///< Fingerprint of the instances that the other VM knows.
};

/// Another VM told which instances are cold.
struct warmups_reported {
    std::vector<warmup_notice> notices; ///< Cold instances, some of which this VM may not know yet.
};

/// The time given by the last wake_at has come, or the front end wakes the entry earlier.
struct time_passed {
};

/// Every event that the entry's decisions react to.
using entry_event =
    std::variant<request_arrived, attempt_ended, caller_left, configuration_changed, freshness_changed,
                 instance_announced, instance_left, instance_reported, instance_withdrawn, vm_reachability_changed,
                 fleet_changed, health_reported, health_report_lost, death_reported, request_released, release_reported,
                 stop_planned, stop_requested, intake_closed, runs_ended, time_passed, limit_members_changed,
                 limit_message_received, claim_message_received, claims_view_changed, publications_lost,
                 evidence_received, ledger_owners_changed, ledger_statement_received, hub_loads_received,
                 known_instances_requested, departure_reported, warmups_reported>;

} // namespace guavafront
