#include "coordination/entry/entry_queue_step.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace guavafront
{

namespace
{

constexpr duration retryAfterTransient = std::chrono::seconds(1);
/// A VM that starts together with the others must wait for an elected leader and the configuration.
constexpr duration retryAfterStart = std::chrono::milliseconds(1'200);
constexpr duration retrySpread = std::chrono::milliseconds(400);

/// Whether the method is idempotent by RFC 9110, section 9.2.2.
bool isIdempotentMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 6> methods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
    return std::ranges::find(methods, method) != methods.end();
}

bool mayBeRepeated(const route &match, std::string_view method)
{
    switch (match.repeats) {
    case repeatability::Repeatable:
        return true;
    case repeatability::NotRepeatable:
        return false;
    case repeatability::ByMethod:
        break;
    }
    return isIdempotentMethod(method);
}

/// Age of the control VMs' last confirmation from which keys are refused.
duration confirmationLimit(const entry &state)
{
    return std::chrono::milliseconds(state.activeConfiguration->defaults.stalenessLimitMs);
}

/// Whether this VM's API keys are too old to use. The control VMs accept the withdrawal of a key without asking the
/// entry VMs, so a VM whose last confirmation is older than the limit may hold a key that is withdrawn everywhere else.
/// That this VM reaches other entry VMs doesn't matter: they may be cut off from the control VMs, too.
bool areKeysTooOld(const entry &state, instant now)
{
    return !state.keysConfirmedAt || now > *state.keysConfirmedAt + confirmationLimit(state);
}

/// Checks the request's API key: Ok, with client set to its account, or the reason for refusing the request.
result_code checkKey(const step_context &context, const request_head &head, const account *&client)
{
    if (areKeysTooOld(context.state, context.now)) {
        return result_code::ConfigurationStale;
    }
    if (!head.key) {
        return result_code::KeyMissing;
    }
    const account_key *known = findKey(context.state.keys, *head.key);
    if (!known) {
        return result_code::KeyUnknown;
    }
    const auto found = context.state.accounts.find(known->owner);
    if (found == context.state.accounts.end()) {
        return result_code::KeyUnknown;
    }
    client = found->second;
    return result_code::Ok;
}

/// What a key is accepted by now.
key_acceptance presentAcceptance(const entry &state, instant now)
{
    return {.atRevision = state.activeConfiguration->atRevision,
            .confirmationAge = now - *state.keysConfirmedAt,
            .confirmationLimit = confirmationLimit(state),
            .leaderTerm = state.keysConfirmedBy.leaderTerm,
            .beaconCounter = state.keysConfirmedBy.beaconCounter};
}

/// Code of a request that the active configuration doesn't allow. While a newer one is known to be accepted, which may
/// allow it, the request isn't denied but may come back.
result_code denialCode(const entry &state, result_code code)
{
    const bool newerAccepted = state.freshness.accepted > state.activeConfiguration->atRevision;
    return newerAccepted ? result_code::ConfigurationStale : code;
}

/// Refuses a request that has no exchange yet; match and client are null when they aren't known.
void refuseNewRequest(step_context &context, exchange_id id, result_code code, const route *match,
                      const account *client)
{
    const bool transient = code == result_code::ConfigurationStale || code == result_code::EntryOverloaded;
    const bool starting =
        code == result_code::ConfigurationStale && context.state.activeConfiguration->atRevision.value == 0;
    duration retryAfter = transient ? retryAfterTransient : duration::zero();
    if (starting) { // All callers are refused at once; the random spread keeps them from all returning at once.
        const std::uint64_t spread = context.random() % static_cast<std::uint64_t>(retrySpread.count());
        retryAfter = retryAfterStart + duration(static_cast<std::int64_t>(spread));
    }
    context.effects.emplace_back(refuse_request{id,
                                                {code, execution::NotRun, retryAfter},
                                                match ? match->service : std::string(),
                                                client ? client->name : std::string()});
}

/// The service of a route. For a route with a traffic split, one of its services is drawn by weight.
const std::string &chooseService(const route &match, std::mt19937_64 &random)
{
    double total = 0;
    for (const weighted_service &part : match.split) {
        total += part.weight;
    }
    if (total <= 0) {
        return match.service;
    }
    double point = std::uniform_real_distribution<double>(0, total)(random);
    for (const weighted_service &part : match.split) {
        if (point < part.weight) {
            return part.service;
        }
        point -= part.weight;
    }
    return match.split.front().service;
}

/// Order of a request by priority, 0 first: the account's priority counts before the route's.
std::uint32_t priorityRankOf(const route &match, const account *client)
{
    constexpr std::uint32_t routeRanks = 1'000;
    return (client ? client->priority : 0) * routeRanks + std::min(match.priority, routeRanks - 1);
}

exchange makeExchange(const step_context &context, const request_head &head, const route &match, const account *client)
{
    const std::uint32_t timeoutMs =
        match.timeoutMs != 0 ? match.timeoutMs : context.state.activeConfiguration->defaults.requestTimeoutMs;
    duration limit = std::chrono::milliseconds(timeoutMs);
    if (head.timeLimit) {
        limit = std::min(limit, std::max(*head.timeLimit, duration::zero()));
    }
    exchange request;
    request.id = head.id;
    request.mayBeRepeated = mayBeRepeated(match, head.method);
    request.routeId = match.id;
    request.accountId = client ? client->id : account_id{};
    request.accountName = client ? client->name : std::string();
    if (client) {
        request.keyAccepted = presentAcceptance(context.state, context.now);
    }
    request.service = chooseService(match, context.random);
    request.kind = match.kind;
    request.idempotencyKey = head.idempotencyKey;
    request.digest = head.digest;
    request.bodyBytes = head.bodyBytes;
    request.arrived = context.now;
    request.deadline = context.now + limit;
    request.maxAttempts = match.maxAttempts;
    request.priorityRank = priorityRankOf(match, client);
    request.targetLatencyEnd =
        match.targetLatencyMs == 0
            ? request.deadline
            : std::min(request.deadline, context.now + std::chrono::milliseconds(match.targetLatencyMs));
    return request;
}

} // namespace

void acceptRequest(step_context &context, const request_head &head)
{
    if (context.state.stopping) {
        refuseNewRequest(context, head.id, result_code::EntryStopping, nullptr, nullptr);
        return;
    }
    if (head.keyInContent) {
        refuseNewRequest(context, head.id, result_code::KeyMisplaced, nullptr, nullptr);
        return;
    }
    if (context.state.activeConfiguration->atRevision.value == 0
        || isConfigurationOutdated(context.state, context.now)) {
        refuseNewRequest(context, head.id, result_code::ConfigurationStale, nullptr, nullptr);
        return; // This configuration can't tell whether the route exists.
    }
    const route *match = findRoute(context.state.routes, head.host, head.path);
    if (!match) {
        refuseNewRequest(context, head.id, denialCode(context.state, result_code::NoRoute), nullptr, nullptr);
        return;
    }
    const account *client = nullptr;
    if (!match->openToAll) {
        if (const result_code code = checkKey(context, head, client); code != result_code::Ok) {
            refuseNewRequest(context, head.id, denialCode(context.state, code), match, client);
            return;
        }
    }
    if (!makeRoom(context, head.bodyBytes)) {
        refuseNewRequest(context, head.id, result_code::EntryOverloaded, match, client);
        return;
    }
    context.state.bodyBytes += head.bodyBytes;
    exchange request = makeExchange(context, head, *match, client);
    context.state.deadlines.emplace(request.deadline, request.id);
    advance(context, context.state.exchanges.emplace(head.id, std::move(request)).first->second);
}

} // namespace guavafront
