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

/// Who an entry VM is.
struct entry_identity {
    vm_id self; ///< This incarnation.
    std::string dataCentre; ///< Data centre that it stands in.
    std::uint64_t life = 0; ///< Drawn at random whenever the state is made; see makeClaims().
};

/// All state of an entry VM's decisions.
struct entry {
    entry_identity identity; ///< This VM.
    entry_policy settings; ///< Of this VM.
    std::shared_ptr<const configuration> activeConfiguration; ///< In force; never null.
    route_table routes; ///< Of the configuration in force.
    key_table keys; ///< Of the configuration in force.
    std::unordered_map<account_id, const account *> accounts; ///< Into the configuration in force.
    freshness_changed freshness; ///< How old the configuration may be.
    std::optional<instant> startedAt; ///< First step of this life.
    std::optional<instant> outdatedSince; ///< Since when a newer configuration is known to be accepted.
    claims idempotencyClaims; ///< Claims of idempotency keys.
    registry upstreams; ///< Announced instances.
    catch_up catchUp; ///< When hubs are asked what instances are missing; only with balancing_policy::Affinity.
    upstream_selection selection; ///< Balancing, health and retries of this VM.
    quarantine requestQuarantine; ///< Requests that upstreams died of.
    instant nextHealthUpdate{}; ///< When health is looked at again.
    instant nextStandingReport{}; ///< When operators are shown the services' standings again.
    std::unordered_map<exchange_id, exchange> exchanges; ///< Requests under way.
    std::set<std::pair<instant, exchange_id>> deadlines; ///< Of the requests under way.
    std::optional<limiter> rateLimiter; ///< Holds the accounts to their rates; started with the first step.
    load_reporter ownLoads; ///< This VM's requests at instances, as its hub knows them.
    ledger rateLedger; ///< Holds them where the size of the fleet isn't known.
    token_waits tokenWaits; ///< Requests that wait for a token.
    entry_admissions admissions; ///< Queues before the services' slots.
    std::uint64_t bodyBytes = 0; ///< Of the bodies of all requests under way.
    bool stopping = false; ///< A planned stop has begun.
};

/// Entry VM with the empty configuration.
entry makeEntry(entry_identity identity, const entry_policy &settings = {});

/// Whether the configuration in force is known to be overtaken, or not yet known to be the newest after a start; only
/// with entry_policy::strictConfiguration.
bool isConfigurationOutdated(const entry &state, instant now);

/// Reacts to one event. The same state, event, time and random numbers give the same effects. Requests pass the stages
/// of exchange_stage in order; each request ends with exactly one deliver_answer or refuse_request, unless its caller
/// has left.
void step(entry &state, const entry_event &event, instant now, std::mt19937_64 &random,
          std::vector<entry_effect> &effects);

} // namespace guavafront
