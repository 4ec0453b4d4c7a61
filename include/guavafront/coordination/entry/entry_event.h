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
#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <memory>
#include <variant>
#include <vector>

namespace guavafront
{

/// A caller's whole request came.
struct request_arrived {
    request_head head; ///< Views for this step only.
};

/// A try that the entry had started has ended.
struct attempt_ended {
    exchange_id id; ///< Request.
    attempt_result result; ///< How it ended.
    std::vector<std::byte> answer; ///< The whole answer for resends, when answered and the request has a claim.
};

/// The caller went away before its answer.
struct caller_left {
    exchange_id id; ///< Request.
};

/// A newer accepted configuration is in force.
struct configuration_changed {
    std::shared_ptr<const configuration> value; ///< Never null; older revisions than the present one are ignored.
};

/// What this VM knows of the freshness of its configuration.
struct freshness_changed {
    instant confirmedAt; ///< When the control last confirmed, over any path, that nothing newer was accepted.
    revision accepted; ///< Highest revision that the control is known to have accepted.
    bool isolated = false; ///< This VM hears less than most of the fleet.
};

/// An instance announced itself here.
struct instance_announced {
    announcement announced; ///< What it said.
};

/// An instance said that it is gone for good.
struct instance_left {
    std::string name; ///< Its own name.
    std::uint64_t born = 0; ///< Start of its process in Unix milliseconds; 0 for whichever life is known.
};

/// Another VM hears an instance.
struct instance_reported {
    vm_id receiver; ///< VM that answers for it.
    announcement announced; ///< What it said.
};

/// Another VM doesn't answer for an instance any more.
struct instance_withdrawn {
    vm_id receiver; ///< VM that did.
    instance_id instance; ///< The instance.
};

/// A VM that answered for instances was lost or found again.
struct vm_reachability_changed {
    vm_id vm; ///< The VM.
    bool reachable = false; ///< Whether it is among the living.
};

/// The membership changed.
struct fleet_changed {
    fleet_summary view; ///< Living VMs.
};

/// Another VM told its view of upstreams' health.
struct health_reported {
    vm_id reporter; ///< The VM.
    health_report report; ///< In place of its last one.
};

/// Another VM's view no longer counts, because the VM is gone.
struct health_report_lost {
    vm_id reporter; ///< The VM.
};

/// An instance died with a request on it, as another VM saw.
struct death_reported {
    lost_request death; ///< Its time is the other VM's and not used.
};

/// An operator released a request here.
struct request_released {
    request_fingerprint request; ///< The request.
};

/// An operator released a request at another VM.
struct release_reported {
    request_fingerprint request; ///< The request.
    std::vector<instance_id> forgiven; ///< Deaths that no longer count.
};

/// The other VMs have lost what this one told them; it is to be told again.
struct publications_lost {
};

/// A planned stop has begun.
struct stop_requested {
};

/// Another VM saw trouble at an instance, or the end of it.
struct evidence_received {
    instance_report evidence; ///< What it saw.
};

/// The control VMs that may own budgets changed.
struct ledger_owners_changed {
    std::vector<vm_id> owners; ///< Live control VMs, ordered.
};

/// An owner answered a report.
struct ledger_statement_received {
    ledger_statement statement; ///< What it says.
};

/// A hub told of instances' loads.
struct hub_loads_received {
    std::vector<instance_load> loads; ///< As other VMs heard them.
};

/// A VM asked what instances it lacks.
struct known_instances_requested {
    vm_id from; ///< The VM.
    std::uint64_t fingerprint = 0; ///< Of those that it knows.
};

/// Time moved on; sent when a wake_at has come.
struct time_passed {
};

/// All that an entry's decisions react to.
using entry_event =
    std::variant<request_arrived, attempt_ended, caller_left, configuration_changed, freshness_changed,
                 instance_announced, instance_left, instance_reported, instance_withdrawn, vm_reachability_changed,
                 fleet_changed, health_reported, health_report_lost, death_reported, request_released, release_reported,
                 stop_requested, time_passed, limit_members_changed, limit_message_received, claim_message_received,
                 claims_view_changed, publications_lost, evidence_received, ledger_owners_changed,
                 ledger_statement_received, hub_loads_received, known_instances_requested>;

} // namespace guavafront
