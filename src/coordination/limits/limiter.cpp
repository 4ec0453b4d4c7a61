#include "coordination/limits/preferred_owners.h"

#include <guavafront/coordination/limits/limiter.h>

#include <algorithm>
#include <map>

namespace guavafront
{

namespace
{

/// A lease with less than this part of its capacity left is renewed early.
constexpr double lowLevelPart = 0.25;
/// Capacity beyond its need, in tokens, that a VM keeps without an early renewal.
constexpr double spareTokens = 2;
/// A waiting request is tried again after this time at the earliest.
constexpr duration minRecheckDelay = std::chrono::milliseconds(1);

void applyMessage(limiter &state, vm_id from, const limit_message &message, instant now, limit_effects &effects);

/// Adds a message to the effects, or applies it at once if this VM is the receiver.
void send(limiter &state, vm_id to, limit_message message, instant now, limit_effects &effects)
{
    if (to == state.self) {
        applyMessage(state, to, message, now, effects);
        return;
    }
    effects.sends.push_back({.to = to, .message = std::move(message)});
}

void refill(const limiter &state, leased_account &account, account_id id, instant now)
{
    const held_share &share = state.holder.shares[slotOf(state.settings, id)];
    refillAccount(account, state.settings, limitOf(state.limits, id), share.usableFrom, now);
}

/// Returns the owner to ask for a lease. While this VM's own share is delegated, that is its delegate, because that
/// owner leases from a pool that includes the share.
vm_id ownerFor(const limiter &state, account_id id, instant now)
{
    const limit_slot slot = slotOf(state.settings, id);
    const held_share &share = state.holder.shares[slot];
    const bool delegated = share.delegate != vm_id{} && now < share.usableFrom;
    return delegated ? share.delegate : state.preferredOwners[slot];
}

bool awaitsAnswer(const limiter &state, const leased_account &account, instant now)
{
    return account.awaitingGrant && now - account.requestedAt < state.settings.requestTimeout;
}

void requestLease(limiter &state, leased_account &account, account_id id, instant now, limit_effects &effects)
{
    const vm_id owner = ownerFor(state, id, now);
    lease_request request{.sequence = ++state.leases.lastSequence};
    request.items.push_back(prepareRequest(account, id, state.settings, owner, request.sequence, now));
    send(state, owner, std::move(request), now, effects);
}

bool inUse(const leased_account &account)
{
    return account.lease.limit.burst > 0 || account.arrivals > 0 || account.demand > 0;
}

/// Whether to renew an account's lease now. Accounts with high demand renew in every period; others that have a lease
/// renew when it has no token left, is larger than needed, or is half over.
bool needsRenewal(const limit_settings &settings, const leased_account &account, instant now)
{
    if (!inUse(account)) {
        return false;
    }
    const double arrivalRate = account.arrivals / std::chrono::duration<double>(settings.renewPeriod).count();
    const bool busy = std::max(account.demand, arrivalRate) >= settings.minDemandForRate;
    const bool holds = account.lease.limit.burst > 0;
    const bool halfOver = now - account.requestedAt >= settings.leaseLifetime / 2;
    const bool tooMuch = account.lease.limit.burst > neededCapacity(account, settings) + spareTokens;
    return busy || (holds && (halfOver || tooMuch || account.lease.level < 1));
}

/// Sends one request to each owner of a lease that is due; its accounts are in order of their ids.
void renewLeases(limiter &state, instant now, limit_effects &effects)
{
    std::vector<account_id> due;
    for (auto &[id, account] : state.leases.accounts) {
        refill(state, account, id, now);
        if (needsRenewal(state.settings, account, now) && !awaitsAnswer(state, account, now)) {
            due.push_back(id);
        } else if (now - account.demandMeasuredAt >= state.settings.leaseLifetime) {
            measureDemand(account, state.settings, now);
        }
    }
    std::ranges::sort(due);
    std::map<vm_id, lease_request> requests;
    for (const account_id id : due) {
        const vm_id owner = ownerFor(state, id, now);
        const auto [place, created] = requests.try_emplace(owner);
        lease_request &request = place->second;
        if (created) {
            request.sequence = ++state.leases.lastSequence;
        }
        leased_account &account = state.leases.accounts.at(id);
        request.items.push_back(prepareRequest(account, id, state.settings, owner, request.sequence, now));
    }
    for (auto &[owner, request] : requests) {
        send(state, owner, std::move(request), now, effects);
    }
}

/// Removes unused accounts, but only if an account that starts anew would have no more tokens than the removed one.
void dropIdleLeases(limiter &state, instant now)
{
    std::erase_if(state.leases.accounts, [&](const auto &entry) {
        const leased_account &account = entry.second;
        const bool shareDelegated = now < state.holder.shares[slotOf(state.settings, entry.first)].usableFrom;
        const bool ownShareFull = account.ownShare.level >= account.ownShare.limit.burst;
        const bool idle = !inUse(account) && account.waiting == 0 && !awaitsAnswer(state, account, now);
        return idle && (shareDelegated || ownShareFull);
    });
}

void requestShares(limiter &state, instant now, limit_effects &effects)
{
    std::vector<limit_slot> slots;
    for (limit_slot slot = 0; slot < state.settings.slotCount; ++slot) {
        if (state.preferredOwners[slot] == state.self) {
            slots.push_back(slot);
        }
    }
    if (slots.empty()) {
        return;
    }
    const share_request request = startRound(state.owner, std::move(slots), now);
    const std::vector<vm_id> members = state.members;
    for (const vm_id member : members) {
        send(state, member, request, now, effects);
    }
}

/// Sends a release to all members, which then choose another owner.
void sendRelease(limiter &state, const share_release &release, instant now, limit_effects &effects)
{
    if (release.slots.empty()) {
        return;
    }
    const std::vector<vm_id> members = state.members;
    for (const vm_id member : members) {
        send(state, member, release, now, effects);
    }
}

void leave(limiter &state, instant now)
{
    state.leaving = true;
    state.nextRound = instant::max();
    for (limit_slot slot = 0; slot < state.settings.slotCount; ++slot) {
        beginHandover(state.owner, state.settings, slot, now);
    }
}

void handleTick(limiter &state, instant now, limit_effects &effects)
{
    if (now >= nextHandoverEnd(state.owner)) {
        sendRelease(state, endHandovers(state.owner, state.settings, now), now, effects);
    }
    if (now >= state.nextRound) {
        state.nextRound =
            now + (now < state.takeoverEnd ? state.settings.takeoverRoundPeriod : state.settings.roundPeriod);
        requestShares(state, now, effects);
        dropIdleAccounts(state.owner, state.settings, state.limits, now);
    }
    if (now >= state.nextRenewal) {
        state.nextRenewal = now + state.settings.renewPeriod;
        renewLeases(state, now, effects);
        dropIdleLeases(state, now);
    }
}

void returnLeases(limiter &state, instant now, limit_effects &effects)
{
    leave(state, now);
    for (auto &[id, account] : state.leases.accounts) {
        account.arrivals = 0;
        account.demand = 0;
        account.waiting = 0;
    }
    renewLeases(state, now, effects);
    state.nextRenewal = instant::max();
    sendRelease(state, releaseAllSlots(state.owner, state.settings, now), now, effects);
}

void apply(limiter &state, vm_id from, const share_request &request, instant now, limit_effects &effects)
{
    withdrawResignation(state, from, request, now);
    share_delegation delegation =
        delegateShares(state.holder, state.settings, from, request, state.preferredOwners, now);
    if (!delegation.slots.empty()) {
        send(state, from, std::move(delegation), now, effects);
    }
}

void apply(limiter &state, vm_id from, const share_delegation &delegation, instant now, limit_effects & /*effects*/)
{
    acceptDelegation(state.owner, state.settings, from, delegation, now);
}

void apply(limiter &state, vm_id from, const share_release &release, instant now, limit_effects & /*effects*/)
{
    takeBackShares(state.holder, from, release, now);
    for (auto &[id, account] : state.leases.accounts) {
        const instant usableFrom = state.holder.shares[slotOf(state.settings, id)].usableFrom;
        if (account.ownShare.refilledAt > std::max(usableFrom, now)) {
            account.ownShare = {.refilledAt = usableFrom}; // It was emptied up to the end of the delegation.
        }
    }
    resign(state, from, release, now);
}

void apply(limiter &state, vm_id from, const lease_request &request, instant now, limit_effects &effects)
{
    lease_grant grant = grantLeases(state.owner, state.settings, state.limits, from, request, now);
    if (!grant.items.empty()) {
        send(state, from, std::move(grant), now, effects);
    }
}

void apply(limiter &state, vm_id from, const lease_grant &grant, instant now, limit_effects &effects)
{
    for (const lease_grant_item &item : grant.items) {
        const auto found = state.leases.accounts.find(item.account);
        if (found == state.leases.accounts.end()) {
            continue;
        }
        refill(state, found->second, item.account, now);
        if (acceptGrant(found->second, state.settings, from, grant.sequence, item, now) && found->second.waiting > 0) {
            effects.accountsToRetry.push_back(item.account);
        }
    }
}

void applyMessage(limiter &state, vm_id from, const limit_message &message, instant now, limit_effects &effects)
{
    std::visit([&](const auto &content) { apply(state, from, content, now, effects); }, message);
}

/// Returns when the VM's own share has its next token; instant::max() while it is delegated.
instant nextOwnToken(const limiter &state, const leased_account &account, account_id id, instant now)
{
    const instant usableFrom = state.holder.shares[slotOf(state.settings, id)].usableFrom;
    const token_bucket &ownShare = account.ownShare;
    if (now < usableFrom || ownShare.limit.burst < 1 || ownShare.limit.ratePerSecond <= 0) {
        return instant::max();
    }
    const std::chrono::duration<double> missing((1 - ownShare.level) / ownShare.limit.ratePerSecond);
    return now + std::chrono::ceil<duration>(missing * (1 + 2 * state.settings.clockDrift));
}

take_result waitResult(instant when, instant now)
{
    return {.verdict = take_verdict::Wait, .recheckAfter = std::max(when - now, minRecheckDelay)};
}

/// Decides about a request while the owner has no token. The request waits only if it and the requests ahead of it can
/// be served within waitLimit.
take_result resultWhileOwnerEmpty(const limiter &state, const leased_account &account, account_id id, instant now,
                                  take_phase phase)
{
    const instant ownToken = nextOwnToken(state, account, id, now);
    const duration untilToken = std::min(account.tokenExpectedAt, ownToken) - now;
    const std::uint32_t ahead = phase == take_phase::First ? account.waiting : 0;
    if (phase == take_phase::Last || untilToken * (ahead + 1) > state.settings.waitLimit) {
        return {.verdict = take_verdict::Refused, .retryAfter = std::max(untilToken, minRecheckDelay)};
    }
    return waitResult(std::min(account.ownerEmptyUntil, ownToken), now);
}

take_result resultWithoutToken(limiter &state, leased_account &account, account_id id, instant now, take_phase phase,
                               limit_effects &effects)
{
    if (now >= account.ownerEmptyUntil && !awaitsAnswer(state, account, now)) {
        const std::uint32_t newRequests = phase == take_phase::First ? 1 : 0;
        account.waiting += newRequests;
        requestLease(state, account, id, now, effects);
        account.waiting -= newRequests;
        if (takeToken(account)) {
            return {.verdict = take_verdict::Granted};
        }
    }
    if (now < account.ownerEmptyUntil) {
        return resultWhileOwnerEmpty(state, account, id, now, phase);
    }
    if (phase == take_phase::Last) {
        return {.verdict = take_verdict::Undecided, .retryAfter = state.settings.requestTimeout};
    }
    const instant answerDue = account.requestedAt + state.settings.requestTimeout;
    return waitResult(std::min(answerDue, nextOwnToken(state, account, id, now)), now);
}

take_result takeOrRequestToken(limiter &state, leased_account &account, account_id id, instant now, take_phase phase,
                               limit_effects &effects)
{
    if (!takeToken(account)) {
        return resultWithoutToken(state, account, id, now, phase, effects);
    }
    const bool low = account.lease.level < lowLevelPart * account.lease.limit.burst;
    const bool requestedLately = now - account.requestedAt < state.settings.renewPeriod / 8;
    if (low && !requestedLately && now >= account.ownerEmptyUntil && !awaitsAnswer(state, account, now)) {
        requestLease(state, account, id, now, effects);
    }
    return {.verdict = take_verdict::Granted};
}

} // namespace

limiter startLimiter(vm_id self, const limit_settings &settings, const limit_table &limits, instant now)
{
    limiter state{.self = self,
                  .settings = settings,
                  .limits = limits,
                  .holder = startShareHolder(settings, now),
                  .owner = startOwner(settings, now),
                  .nextRound = now,
                  .nextRenewal = now};
    // Numbers start at the present time, so that a limiter restarted on the same VM ignores answers to requests that it
    // sent before the restart.
    const auto firstNumber = static_cast<std::uint64_t>(now.time_since_epoch().count());
    state.owner.lastRound = firstNumber;
    state.leases.lastSequence = firstNumber;
    state.preferredOwners.resize(settings.slotCount);
    changeMembers(state, {}, now);
    return state;
}

void step(limiter &state, const limit_event &event, instant now, limit_effects &effects)
{
    if (const auto *members = std::get_if<limit_members_changed>(&event)) {
        changeMembers(state, members->members, now);
    } else if (const auto *limits = std::get_if<limits_changed>(&event)) {
        state.limits = limits->limits;
    } else if (const auto *received = std::get_if<limit_message_received>(&event)) {
        applyMessage(state, received->from, received->message, now, effects);
    } else if (std::holds_alternative<limit_tick>(event)) {
        handleTick(state, now, effects);
    } else if (std::holds_alternative<limiter_leaving>(event)) {
        leave(state, now);
    } else {
        returnLeases(state, now, effects);
    }
}

instant nextTick(const limiter &state)
{
    return std::min({state.nextRound, state.nextRenewal, nextHandoverEnd(state.owner)});
}

take_result tryTake(limiter &state, account_id id, take_phase phase, instant now, limit_effects &effects)
{
    const auto [place, created] = state.leases.accounts.try_emplace(id);
    leased_account &account = place->second;
    if (created) {
        account.demandMeasuredAt = now;
    }
    if (phase == take_phase::First) {
        ++account.arrivals;
    }
    refill(state, account, id, now);
    const take_result result = takeOrRequestToken(state, account, id, now, phase, effects);
    if (phase == take_phase::First && result.verdict == take_verdict::Wait) {
        ++account.waiting;
    } else if (phase != take_phase::First && result.verdict != take_verdict::Wait) {
        abandonWait(state, id);
    }
    return result;
}

void abandonWait(limiter &state, account_id id)
{
    const auto found = state.leases.accounts.find(id);
    if (found != state.leases.accounts.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

} // namespace guavafront
