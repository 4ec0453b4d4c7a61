#pragma once

#include <guavafront/coordination/admission/capacity_share.h>
#include <guavafront/coordination/avoidance/trials.h>
#include <guavafront/coordination/claims/claim_message.h>
#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/refusal.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/entry/key_acceptance.h>
#include <guavafront/coordination/health/shared_evidence.h>
#include <guavafront/coordination/limits/ledger.h>
#include <guavafront/coordination/limits/limiter.h>
#include <guavafront/coordination/loads/load_totals.h>
#include <guavafront/coordination/quarantine/quarantine.h>
#include <guavafront/coordination/registry/announcement.h>
#include <guavafront/coordination/registry/catch_up.h>
#include <guavafront/coordination/registry/departure.h>
#include <guavafront/coordination/registry/instance_news.h>
#include <guavafront/coordination/upstreams/service_instance_counts.h>
#include <guavafront/coordination/warmup/warmup.h>
#include <guavafront/coordination/work/work_sharing.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Estimates that the instance of an attempt was chosen by, for operators.
struct attempt_placement {
    bool byWork = false; ///< Instances were compared by outstanding work, as the service's routes differ in cost.
    duration expectedWork{}; ///< Expected service time of the request; 0 while it isn't known.
    duration expectedWait{}; ///< Expected wait for a slot at the instance.
};

/// Send the request to an instance. The front end reports the end of the attempt by attempt_ended.
struct start_attempt {
    exchange_id id; ///< Request to send.
    instance_id instance; ///< Upstream instance to send it to.
    std::string ip; ///< IP address of the instance.
    std::uint16_t port = 0; ///< TCP port of the instance.
    std::string instanceName; ///< Name that the instance announced; empty when it announced none.
    std::string service; ///< Service that the instance belongs to.
    std::string accountName; ///< Client account to name in the upstream request; empty on a route open to all.
    std::optional<key_acceptance> keyAccepted; ///< What the API key was accepted by; empty on a route open to all.
    instant deadline; ///< Time when the attempt is given up.
    bool trial = false; ///< The attempt is a trial that shows whether an avoided instance is healthy again.
    trial_reason trialReason = trial_reason::None; ///< Why it is a trial.
    bool cold = false; ///< The instance is cold.
    duration silenceLimit{}; ///< Time without an answer before a reused connection is given up; 0 for no limit.
    attempt_placement placement; ///< What its instance was chosen by.
};

/// Cancel the current attempt of a request: close its connection and report no attempt_ended for it.
struct cancel_attempt {
    exchange_id id; ///< Request whose attempt is cancelled.
};

/// Send the answer of the last attempt to the caller. This ends the request.
struct deliver_answer {
    exchange_id id; ///< Request that was answered.
};

/// Send the caller the stored answer to an earlier request with the same idempotency key. This ends the request.
struct replay_answer {
    exchange_id id; ///< Request that is answered.
    std::vector<std::byte> answer; ///< Stored answer, in the form given in attempt_ended.
    std::string service; ///< Service that the route names, for the counters.
    std::string accountName; ///< Client account, for the counters; empty on a route open to all.
};

/// Refuse the request. This ends it.
struct refuse_request {
    exchange_id id; ///< Request that is refused.
    refusal reason; ///< Reason given to the caller.
    std::string service; ///< Service that the route names, for the counters; empty when no route was found.
    std::string accountName; ///< Client account, for the counters; empty when it isn't known.
};

/// Publish the state of an instance that announced itself at this VM to the other VMs.
struct publish_instance {
    announcement announced; ///< The instance's latest announcement.
};

/// Tell the other VMs that this VM no longer receives announcements of an instance.
struct withdraw_instance {
    instance_id instance; ///< Instance to withdraw.
};

/// Close all idle connections to an instance, because a reused one gave no answer and the others are probably dead too.
struct drop_connections {
    instance_id instance; ///< Instance whose idle connections are closed.
};

/// Publish this VM's view of the upstream instances' health; it replaces the previous report.
struct publish_health {
    health_report report; ///< Complete view of this VM.
};

/// Tell the other VMs that an instance crashed while it ran a request.
struct publish_death {
    lost_request death; ///< Request and instance; the time is by this VM's clock.
};

/// Tell the other VMs that an operator released a request from quarantine.
struct publish_release {
    request_fingerprint request; ///< Released request.
    std::vector<instance_id> forgiven; ///< Instances whose crash no longer counts against the request.
};

/// Tell the control VMs that this VM can store claims since its last start.
struct publish_claims_member {
    claims_member member; ///< This VM and its current incarnation.
};

/// Broadcast evidence about an instance's health to all entry VMs immediately.
struct broadcast_evidence {
    instance_report evidence; ///< Observation to broadcast.
};

/// Report spent tokens to the control VM that keeps the ledger of their accounts.
struct send_ledger_report {
    vm_id to; ///< Control VM that receives the report.
    ledger_report report; ///< Tokens spent since the last report.
};

/// Report the number of this VM's requests at instances, and what requests took, to its hub.
struct report_loads {
    std::vector<instance_load> loads; ///< Requests of this VM, by instance.
    std::vector<route_samples> samples; ///< Service times observed since the last report.
};

/// Ask the hubs for all instances if theirs differ from those that this VM knows.
struct request_known_instances {
    std::uint64_t fingerprint = 0; ///< Fingerprint of the instances that this VM knows.
};

/// Send all known instances to a VM that asked for them.
struct send_known_instances {
    vm_id to; ///< VM that asked.
    std::vector<instance_record> instances; ///< All instances that this VM knows.
};

/// Send time_passed at the given time or earlier. When a step gives several, the last one applies.
struct wake_at {
    instant when; ///< Time of the next time_passed.
};

/// Report to operators how many instances of a service are avoided.
struct report_standing {
    std::string service; ///< Name of the service.
    service_instance_counts standing; ///< Number of instances in each state, as this VM sees them.
};

/// Report to operators what the instance of a request's last attempt said of itself: that it leaves, once, or that it
/// wants a pause, each time that one begins.
struct report_notice {
    exchange_id id; ///< Request whose answer said it.
    std::string service; ///< Service of the instance.
    std::string instanceName; ///< Name that the instance announced; empty when it is no longer announced.
    duration pause{}; ///< Time in which it wants no request from this VM; 0 when it said that it leaves.
};

/// Report to operators that a request whose attempt failed isn't sent again only because the service's retry budget is
/// spent.
struct report_retry_refused {
    exchange_id id; ///< The request.
    std::string service; ///< Service of the request.
    float tokens = 0; ///< Tokens left, less than one.
    float capacity = 0; ///< Tokens that this VM may save.
};

/// Tell other VMs which instances are cold.
struct send_warmups {
    std::optional<vm_id> to; ///< VM that gets the notices; nothing for all entry and control VMs.
    std::vector<warmup_notice> notices; ///< The cold instances.
};

/// Report to operators what concerned the cold instances of a service since the last report.
struct report_warmups {
    std::string service; ///< Name of the service.
    warmup_counts counts; ///< Present number of cold instances, and requests since the last report.
};

/// Report to operators that another VM passed on that an instance takes no more requests.
struct report_departure {
    departure what; ///< The departure.
    vm_id from; ///< VM that passed it on; 0 for a task of this VM.
    std::optional<held_instance> before; ///< What was known of the instance; nothing if it was unknown.
    bool changed = false; ///< The instance took requests before.
};

/// What happened to an instance in this VM's registry.
enum class registry_step : std::uint8_t {
    Serving, ///< It was unknown or took no requests, and takes requests now.
    Withdrawn, ///< Its registrar withdrew it, or is dead.
    LeaseEnded, ///< Its lease ended.
    Outdated, ///< It was unknown, and an announcement from before its departure came.
};

/// Report to operators that an instance takes requests, or isn't known any more.
struct report_instance {
    std::string name; ///< Name of the instance.
    std::uint64_t processStartMs = 0; ///< Start of its process in Unix milliseconds.
    registry_step step = registry_step::Serving; ///< What happened.
    vm_id registrar; ///< VM that receives its announcements by the news.
    std::uint64_t sequence = 0; ///< Sequence number of the announcement; 0 if the instance isn't known any more.
    news_path path = news_path::SpreadMap; ///< How the news came.
    vm_id from; ///< VM that sent the news; 0 if the replicated map brought it.
    std::optional<held_instance> before; ///< What was known of the instance; nothing if it was unknown.
};

/// Report to operators that this VM stops to send requests to the instances of a data centre, or may again.
struct report_evacuation {
    evacuation state; ///< The data centre and the order now in force; without times if none is kept any more.
    revision atRevision; ///< Revision of the configuration with the order.
    std::uint32_t instances = 0; ///< Serving instances of the data centre that this VM knows.
    std::uint32_t services = 0; ///< Services with instances there that have none elsewhere.
};

/// Count a request of a service that has instances in an evacuated data centre.
struct count_evacuated_request {
    std::string service; ///< Service of the request.
    bool placed = false; ///< An attempt starts at another instance; otherwise the request is refused without one.
};

/// Why a request that waited for capacity was refused.
enum class admission_refusal : std::uint8_t {
    WaitTooLong, ///< Its turn would come too late to be answered before its deadline.
    QueueFull, ///< Too many requests of its account, or of all accounts, wait at this VM.
};

/// Report to operators that a request was refused for want of capacity; only with entry_policy::urgencyOrder.
struct report_admission_refusal {
    std::string service; ///< Service of the request.
    std::uint32_t rank = 0; ///< Rank of the request by priorities.
    admission_refusal reason = admission_refusal::WaitTooLong; ///< Why it was refused.
    duration predictedWait{}; ///< Time until its turn would have come.
    duration left{}; ///< Time to its deadline.
    duration work{}; ///< Its expected service time.
    service_capacity capacity; ///< Available capacity of the service.
    double limit = 0; ///< This VM's share of the slots.
    std::uint32_t waiting = 0; ///< Requests of the service that wait at this VM.
};

/// Report to operators that a request got its turn after a wait; only with entry_policy::urgencyOrder.
struct report_admission_wait {
    std::string service; ///< Service of the request.
    std::uint32_t rank = 0; ///< Rank of the request by priorities.
    duration predicted{}; ///< Wait that was predicted when the request arrived.
    duration waited{}; ///< Wait until its turn came.
};

/// Everything that the entry's decisions can ask the front end to do.
using entry_effect =
    std::variant<start_attempt, cancel_attempt, deliver_answer, replay_answer, refuse_request, publish_instance,
                 withdraw_instance, wake_at, limit_send, send_claim_message, drop_connections, publish_health,
                 publish_death, publish_release, publish_claims_member, broadcast_evidence, send_ledger_report,
                 report_loads, request_known_instances, send_known_instances, report_standing, report_notice,
                 report_departure, report_instance, report_evacuation, count_evacuated_request, report_retry_refused,
                 send_warmups, report_warmups, report_admission_refusal, report_admission_wait>;

} // namespace guavafront
