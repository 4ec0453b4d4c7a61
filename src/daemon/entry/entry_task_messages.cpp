#include "daemon/entry/entry_task.h"

#include "daemon/fleet/shared_state.h"
#include "daemon/registry/known_instances.h"
#include "wire/catch_up_codec.h"
#include "wire/claims_codec.h"
#include "wire/evidence_codec.h"
#include "wire/ledger_codec.h"
#include "wire/limits_codec.h"
#include "wire/load_codec.h"

#include <chrono>

namespace guavafront
{

void entry_task::perform(const send_claim_message &effect)
{
    m_peers.post(send_to_vm{effect.to, {.kind = channel::Claims, .body = encodeClaimMessage(effect.message)}});
}

void entry_task::perform(const report_evacuation &effect)
{
    m_counters.setEvacuation(effect.state);
    m_log.write("evacuation", loop::now(),
                {{"data_centre", effect.state.dataCentre},
                 {"evacuated", std::int64_t{effect.state.inForce}},
                 {"started_ms", static_cast<std::int64_t>(effect.state.startedMs)},
                 {"ended_ms", static_cast<std::int64_t>(effect.state.endedMs)},
                 {"revision", static_cast<std::int64_t>(effect.atRevision.value)},
                 {"instances", std::int64_t{effect.instances}},
                 {"services_without_others", std::int64_t{effect.services}}});
}

void entry_task::perform(const count_evacuated_request &effect)
{
    m_counters.countEvacuatedRequest(effect.service, effect.placed);
}

void entry_task::perform(const publish_instance &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const withdraw_instance &effect)
{
    m_peers.post(publicationOf(effect));
    m_pool.closeIdle(effect.instance);
}

void entry_task::perform(const publish_claims_member &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const limit_send &effect)
{
    m_peers.post(send_to_vm{effect.to, {.kind = channel::Limits, .body = encodeLimitMessage(effect.message)}});
}

void entry_task::perform(const publish_health &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const publish_death &effect)
{
    m_peers.post(publicationOf(effect));
    if (m_operators) {
        m_operators->post(death_reported{effect.death}); // Watchers of the spread map don't get a VM's own entries.
    }
}

void entry_task::perform(const broadcast_evidence &effect)
{
    const auto copyOf = [this, &effect](std::uint8_t copy) {
        const evidence_message message{.copy = copy, .reports = {{m_state.identity.self, effect.evidence}}};
        return envelope{.kind = channel::Health, .version = evidenceVersion, .body = encodeEvidence(message)};
    };
    m_peers.post(send_to_hubs{.message = copyOf(0), .secondMessage = copyOf(1)});
}

void entry_task::perform(const report_loads &effect)
{
    load_message report{.stage = load_stage::Reported, .loads = effect.loads, .samples = {}, .estimates = {}};
    if (!report.loads.empty()) {
        m_peers.post(send_to_hubs{.count = 1, .message = {.kind = channel::Loads, .body = encodeLoads(report)}});
    }
    std::erase_if(report.loads, [](const instance_load &each) { return each.work == duration::zero(); });
    report.samples = effect.samples;
    if (!report.loads.empty() || !report.samples.empty()) {
        m_peers.post(send_to_hubs{
            .count = 1, .message = {.kind = channel::Loads, .version = workVersion, .body = encodeWork(report)}});
    }
}

void entry_task::perform(const request_known_instances &effect)
{
    m_peers.post(send_to_hubs{
        .message = {.kind = channel::CatchUp, .body = encodeCatchUp(instances_request{effect.fingerprint})}});
}

void entry_task::perform(const send_known_instances &effect)
{
    sendKnownInstances(m_peers, effect.to, effect.instances);
}

void entry_task::perform(const send_warmups &effect)
{
    sendWarmups(m_peers, effect);
}

void entry_task::perform(const send_ledger_report &effect)
{
    m_peers.post(send_to_vm{effect.to, {.kind = channel::Ledger, .body = encodeLedgerMessage(effect.report)}});
}

void entry_task::perform(const publish_release &effect)
{
    m_peers.post(publicationOf(effect));
}

void entry_task::perform(const report_admission_refusal &effect)
{
    m_counters.countAdmissionRefusal(effect.service, effect.rank, effect.reason);
    m_log.write("admission", loop::now(),
                {{"service", effect.service},
                 {"rank", std::int64_t{effect.rank}},
                 {"reason", admissionRefusalName(effect.reason)},
                 {"predicted_ms", std::chrono::duration<double, std::milli>(effect.predictedWait).count()},
                 {"left_ms", std::chrono::duration<double, std::milli>(effect.left).count()},
                 {"work_ms", std::chrono::duration<double, std::milli>(effect.work).count()},
                 {"slots", std::int64_t{effect.capacity.slots}},
                 {"requests", std::int64_t{effect.capacity.requests}},
                 {"vms", std::int64_t{effect.capacity.vms}},
                 {"limit", effect.limit},
                 {"waiting", std::int64_t{effect.waiting}}});
}

void entry_task::perform(const report_admission_wait &effect)
{
    m_counters.observeAdmissionWait(effect.service, effect.rank, effect.predicted, effect.waited);
}

void entry_task::perform(const report_retry_refused &effect)
{
    const auto found = m_requests.find(effect.id);
    m_counters.countRefusedRetry(effect.service);
    m_log.write("retry_refused", loop::now(),
                {{"id", found == m_requests.end() ? std::string_view() : requestIdOf(found->second)},
                 {"service", effect.service},
                 {"tokens", double{effect.tokens}},
                 {"capacity", double{effect.capacity}}});
}

void entry_task::perform(const report_warmups &effect)
{
    m_counters.setWarmupCounts(effect.service, effect.counts);
    m_log.write("warmup", loop::now(),
                {{"service", effect.service},
                 {"cold", std::int64_t{effect.counts.cold}},
                 {"sent", std::int64_t{effect.counts.sent}},
                 {"held_back", std::int64_t{effect.counts.heldBack}},
                 {"entry_vms", static_cast<std::int64_t>(m_state.selection.warmups.vms.size())}});
}

} // namespace guavafront
