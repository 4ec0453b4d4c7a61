#pragma once

#include <guavafront/coordination/avoidance/avoidance.h>
#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/refusal.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/health/shared_evidence.h>
#include <guavafront/coordination/limits/ledger.h>
#include <guavafront/coordination/limits/limiter.h>
#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/quarantine/quarantine.h>
#include <guavafront/coordination/registry/announcement.h>
#include <guavafront/coordination/registry/catch_up.h>
#include <guavafront/coordination/upstreams/service_instance_counts.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Send the request to an instance; ends with attempt_ended.
struct start_attempt {
    exchange_id id; ///< Request.
    instance_id instance; ///< Upstream instance.
    std::string ip; ///< Its IP number.
    std::uint16_t port = 0; ///< Its TCP port.
    std::string instanceName; ///< Its own name; empty when it announced none.
    std::string service; ///< Service that the instance belongs to.
    std::string accountName; ///< Client account to name upstream; empty on a route open to all.
    instant deadline; ///< Give up then.
    bool trial = false; ///< Shows whether an avoided instance is sound again.
    duration silenceLimit{}; ///< On a kept connection give up after so long without an answer; 0 for the deadline.
};

/// Give up on the running try: its connection is closed, no attempt_ended follows.
struct cancel_attempt {
    exchange_id id; ///< Request.
};

/// Hand the last try's whole answer to the caller. The request is over.
struct deliver_answer {
    exchange_id id; ///< Request.
};

/// Hand the first answer to an earlier sending of the request to the caller. The request is over.
struct replay_answer {
    exchange_id id; ///< Request.
    std::vector<std::byte> answer; ///< As given to attempt_ended.
    std::string service; ///< Service that the route names, for the counters.
    std::string accountName; ///< Client account, for the counters; empty on a route open to all.
};

/// Refuse the request. It is over.
struct refuse_request {
    exchange_id id; ///< Request.
    refusal reason; ///< Why.
    std::string service; ///< Service that the route names, for the counters; empty when no route was found.
    std::string accountName; ///< Client account, for the counters; empty when it isn't known.
};

/// Tell the other VMs about an own instance.
struct publish_instance {
    announcement announced; ///< What it said.
};

/// Tell the other VMs that this one doesn't answer for an instance any more.
struct withdraw_instance {
    instance_id instance; ///< The instance.
};

/// A kept connection to the instance went silent: close its idle ones, which are likely as dead.
struct drop_connections {
    instance_id instance; ///< Upstream instance.
};

/// Tell the other VMs of this one's view of upstreams' health, in place of the last report.
struct publish_health {
    health_report report; ///< The whole view.
};

/// Tell the other VMs that an instance died with a request on it.
struct publish_death {
    lost_request death; ///< Request and instance; its time is this VM's.
};

/// Tell the other VMs that an operator released a request.
struct publish_release {
    request_fingerprint request; ///< The request.
    std::vector<instance_id> forgiven; ///< Deaths that no longer count.
};

/// Tell the control VMs that this VM can keep claims, in its present life.
struct publish_claims_member {
    claims_member member; ///< This VM.
};

/// Tell all entry VMs at once what this one saw at an instance.
struct broadcast_evidence {
    instance_report evidence; ///< What it saw.
};

/// Report what was spent to an owner of budgets.
struct send_ledger_report {
    vm_id to; ///< Owner.
    ledger_report report; ///< What was spent.
};

/// Tell this VM's hub of instances' loads.
struct report_loads {
    std::vector<instance_load> loads; ///< As this VM heard them.
};

/// Ask hubs what instances this VM lacks.
struct request_known_instances {
    std::uint64_t fingerprint = 0; ///< Of those that it knows.
};

/// Tell a VM of the known instances.
struct send_known_instances {
    vm_id to; ///< The VM.
    std::vector<instance_record> instances; ///< All of them.
};

/// Send time_passed at that time, or earlier; the last one of a step counts.
struct wake_at {
    instant when; ///< Time to wake.
};

/// Show operators how many instances of a service are avoided.
struct report_standing {
    std::string service; ///< Name.
    service_instance_counts standing; ///< As this VM holds it.
};

/// All that an entry's decisions want done.
using entry_effect =
    std::variant<start_attempt, cancel_attempt, deliver_answer, replay_answer, refuse_request, publish_instance,
                 withdraw_instance, wake_at, limit_send, send_claim_message, drop_connections, publish_health,
                 publish_death, publish_release, publish_claims_member, broadcast_evidence, send_ledger_report,
                 report_loads, request_known_instances, send_known_instances, report_standing>;

} // namespace guavafront
