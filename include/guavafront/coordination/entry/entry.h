#pragma once

#include <guavafront/coordination/claims/claims.h>
#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/configuration/key_table.h>
#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/entry/entry_event.h>
#include <guavafront/coordination/entry/entry_policy.h>
#include <guavafront/coordination/entry/entry_queues.h>
#include <guavafront/coordination/entry/exchange.h>
#include <guavafront/coordination/limits/ledger.h>
#include <guavafront/coordination/limits/limiter.h>
#include <guavafront/coordination/loads/load_reporter.h>
#include <guavafront/coordination/quarantine/quarantine.h>
#include <guavafront/coordination/registry/catch_up.h>
#include <guavafront/coordination/registry/registry.h>
#include <guavafront/coordination/routing/route_table.h>
#include <guavafront/coordination/upstreams/upstream_selection.h>
#include <guavafront/coordination/work/work_estimates.h>

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavafront
{

/// Identity of an entry VM.
struct entry_identity {
    vm_id self; ///< Id of this incarnation of the VM.
    std::string dataCentre; ///< Data centre that the VM runs in.
    std::uint64_t life = 0; ///< Random number drawn anew whenever the state is created; see makeClaims().
};

/// Complete state from which an entry VM decides what happens to its requests.
struct entry {
    entry_identity identity; ///< Identity of this VM.
    entry_policy settings; ///< Settings of this VM's decisions.
    std::shared_ptr<const configuration> activeConfiguration; ///< Configuration in force; never null.
    route_table routes; ///< Routes of the active configuration.
    key_table keys; ///< API keys of the active configuration.
    std::unordered_map<account_id, const account *> accounts; ///< Point into the active configuration.
    freshness_changed freshness; ///< Latest knowledge of how fresh the active configuration is.
    std::optional<instant> keysConfirmedAt; ///< Time up to which the control VMs have accepted no revision newer than
                                            ///< the active one; nothing before their first confirmation.
    freshness_changed keysConfirmedBy; ///< Where keysConfirmedAt comes from, for operators.
    std::optional<instant> startedAt; ///< Time of the first step; nothing before it.
    std::optional<instant> outdatedSince; ///< Time since which a newer accepted configuration is known.
    claims idempotencyClaims; ///< Claims of idempotency keys.
    registry upstreams; ///< Upstream instances announced here or at other VMs.
    catch_up catchUp; ///< Schedule for asking hubs for instances; used only with balancing_policy::Affinity.
    upstream_selection selection; ///< State of load balancing, health tracking and retries.
    quarantine requestQuarantine; ///< Requests that appear to have crashed instances.
    instant nextHealthUpdate{}; ///< Time when upstream health is evaluated again.
    instant nextStandingReport{}; ///< Time when the services' standings are reported again.
    std::unordered_map<exchange_id, exchange> exchanges; ///< Requests in progress.
    std::set<std::pair<instant, exchange_id>> deadlines; ///< Deadlines of the requests in progress.
    std::optional<limiter> rateLimiter; ///< Enforces rates if limit_settings::bySize; set by the first step.
    load_reporter ownLoads; ///< This VM's requests at instances, as last reported to its hub.
    work_report ownWork; ///< Service times that are yet to be reported to the hub.
    work_estimates work; ///< What requests cost, by what is visible of them before they run.
    ledger rateLedger; ///< Enforces rates without limit_settings::bySize, as the fleet's size isn't known.
    token_waits tokenWaits; ///< Requests that wait for a token of their account's rate.
    entry_admissions admissions; ///< Queues of requests that wait for a slot, by service.
    std::uint64_t bodyBytes = 0; ///< Total size of the bodies of all requests in progress.
    bool stopping = false; ///< A planned stop has begun, so new requests are refused.
    instant runsEndAt = instant::max(); ///< End of the running requests during a planned stop; see intake_closed.
};

/// Creates the state of an entry VM with an empty configuration.
entry makeEntry(entry_identity identity, const entry_policy &settings = {});

/// Whether requests must be refused because a newer configuration than the active one has been accepted, or because
/// shortly after the start nothing confirms yet that the active one is the newest. Always false without
/// entry_policy::strictConfiguration.
bool isConfigurationOutdated(const entry &state, instant now);

/// Handles one event and appends the resulting effects. The same state, event, time and random numbers always give the
/// same effects. Requests pass through the stages of exchange_stage in order. Each request ends with exactly one
/// deliver_answer, replay_answer or refuse_request, unless its caller has disconnected.
void step(entry &state, const entry_event &event, instant now, std::mt19937_64 &random,
          std::vector<entry_effect> &effects);

} // namespace guavafront
