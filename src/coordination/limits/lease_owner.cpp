#include <guavafront/coordination/limits/lease_owner.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace guavafront
{

namespace
{

/// Part of a VM's demand that it is leased as a rate. The rest comes as tokens from the reserve, so that few tokens are
/// lost when the VM's lease overflows.
constexpr double leasedDemandPart = 0.75;
/// Part of a pool's rate that is leased by demand; the rest refills the reserve for VMs without a lease.
constexpr double leasablePart = 0.9;
/// Part of the burst up to which VMs with low demand get tokens in advance; the rest is left for waiting requests.
constexpr double lowDemandBurstPart = 0.2;
/// Part of the reserve that a VM gets while its demand isn't known yet.
constexpr double newcomerReservePart = 0.08;
/// Compensates for rounding in the encoding and in sums of fractions, in tokens.
constexpr double roundingTokens = 0.01;
/// Smallest capacity, in tokens, that the division by demand leaves a VM when there isn't enough for all.
constexpr double minContendedCapacity = 2;
constexpr duration minRetryAfter = std::chrono::milliseconds(1);
constexpr duration maxRetryAfter = std::chrono::seconds(1);

/// Returns the most that a VM may be using: the confirmed lease, the offered one, or the confirmed one together with
/// the offered one's tokens.
rate_limit maxInUse(const lessee_record &record)
{
    return {.ratePerSecond = std::max(record.held.granted.ratePerSecond, record.offered.granted.ratePerSecond),
            .burst = std::max(record.held.granted.burst + record.offered.tokens, record.offered.granted.burst)};
}

void addToTotals(owned_account &account, const lessee_record &record)
{
    const rate_limit inUse = maxInUse(record);
    account.leased.ratePerSecond += inUse.ratePerSecond;
    account.leased.burst += inUse.burst;
    account.demand += record.demand;
}

void subtractFromTotals(owned_account &account, const lessee_record &record)
{
    const rate_limit inUse = maxInUse(record);
    account.leased.ratePerSecond -= inUse.ratePerSecond;
    account.leased.burst -= inUse.burst;
    account.demand -= record.demand;
}

void dropEndedLeases(lessee_record &record, instant now)
{
    if (record.offered.until <= now) {
        record.offered = {};
    }
    if (record.held.until <= now) {
        record.held = {};
    }
}

/// Removes ended leases and computes the account's sums again from the start, so that rounding errors don't accumulate.
void pruneLeases(owned_account &account, instant now)
{
    account.leased = {};
    account.demand = 0;
    for (auto record = account.lessees.begin(); record != account.lessees.end();) {
        dropEndedLeases(record->second, now);
        if (record->second.held.sequence == 0 && record->second.offered.sequence == 0) {
            record = account.lessees.erase(record);
            continue;
        }
        addToTotals(account, record->second);
        ++record;
    }
    account.prunedAt = now;
}

/// Updates a record by the grant that a request shows to be in force. Tokens that the VM gave up, or was offered and
/// can no longer accept, return to the reserve.
void applyConfirmation(lessee_record &record, const lease_request_item &item, pool_reserve &reserve)
{
    const bool heldInForce = record.held.sequence != 0 && item.appliedSequence == record.held.sequence;
    const bool offeredInForce = record.offered.sequence != 0 && item.appliedSequence == record.offered.sequence;
    if (offeredInForce) {
        record.held = record.offered;
    } else if (heldInForce) {
        reserve.level += record.offered.tokens;
    } else {
        record.held = {};
    }
    record.offered = {};
    if (heldInForce || offeredInForce) {
        const double returnable = std::max(0.0, record.held.granted.burst - item.heldCapacity);
        reserve.level += std::clamp(item.returnedTokens, 0.0, returnable);
        record.held.granted.ratePerSecond = std::min(record.held.granted.ratePerSecond, item.heldRate);
        record.held.granted.burst = std::min(record.held.granted.burst, item.heldCapacity);
    }
}

/// What the owner can grant of an account.
struct grant_bounds {
    rate_limit total; ///< The part of the account's limit that the pooled shares give.
    rate_limit free; ///< The part of the total that no lease of another VM uses.
};

/// Returns the factor by which all VMs' rates are reduced when their demand exceeds the leasable rate; 1 otherwise.
double fairPart(const owned_account &account, const grant_bounds &bounds)
{
    const double wanted = leasedDemandPart * account.demand;
    const double leasable = leasablePart * bounds.total.ratePerSecond;
    return wanted > leasable ? leasable / wanted : 1;
}

double rateFor(const owned_account &account, double demand, const grant_bounds &bounds)
{
    return std::min(leasedDemandPart * demand * fairPart(account, bounds), bounds.free.ratePerSecond);
}

/// Returns the capacity of a VM with low demand: tokens for a renewal period while lowDemandBurstPart lasts, otherwise
/// tokens for the waiting requests only. A VM whose demand isn't known yet gets a part of the reserve if the account's
/// rate is high enough to be leased, because the VM may soon need it.
double lowDemandCapacity(const owned_account &account, const limit_settings &settings, const lease_request_item &item,
                         const grant_bounds &bounds)
{
    if (item.demand <= 0 && bounds.total.ratePerSecond >= settings.minDemandForRate) {
        return 1 + item.waiting + newcomerReservePart * account.reserve.level;
    }
    const double lowDemandTokensLeft =
        lowDemandBurstPart * bounds.total.burst - (bounds.total.burst - bounds.free.burst);
    const double wantedTokens = 1 + std::chrono::duration<double>(settings.renewPeriod).count() * item.demand;
    if (item.demand > 0 && wantedTokens + item.waiting <= lowDemandTokensLeft) {
        return wantedTokens + item.waiting;
    }
    return std::max(item.level, item.waiting + roundingTokens);
}

double capacityFor(const owned_account &account, const limit_settings &settings, const lease_request_item &item,
                   const grant_bounds &bounds)
{
    if (item.waiting == 0 && item.demand <= 0) {
        return 0;
    }
    const double renewSeconds = std::chrono::duration<double>(settings.renewPeriod).count();
    double capacity = 1 + item.waiting + 1.5 * renewSeconds * item.demand;
    if (item.demand < settings.minDemandForRate) {
        capacity = lowDemandCapacity(account, settings, item, bounds);
    } else if (fairPart(account, bounds) < 1) {
        const double fair = leasablePart * bounds.total.burst * item.demand / account.demand;
        capacity = std::min(capacity, std::max(minContendedCapacity, fair));
    }
    capacity = std::min(capacity, bounds.free.burst);
    return capacity < 1 ? 0 : capacity;
}

duration retryAfter(const owned_account &account, const grant_bounds &bounds, double missing)
{
    const double rate = std::max(bounds.total.ratePerSecond - account.leased.ratePerSecond,
                                 (1 - leasablePart) * bounds.total.ratePerSecond);
    if (rate <= 0) {
        return maxRetryAfter;
    }
    const double micros =
        std::min(missing / rate, 1.0) * static_cast<double>(duration(std::chrono::seconds(1)).count());
    return std::clamp(duration(static_cast<duration::rep>(micros)), minRetryAfter, maxRetryAfter);
}

lease_grant_item decideGrant(owned_account &account, lessee_record &record, const limit_settings &settings,
                             const rate_limit &total, const lease_request_item &item, instant endsAt, instant now)
{
    const grant_bounds bounds{
        .total = total,
        .free = {.ratePerSecond = std::max(0.0, total.ratePerSecond - account.leased.ratePerSecond),
                 .burst = std::max(0.0, total.burst - account.leased.burst)}};
    record.demand = item.demand;
    account.demand += item.demand;
    lease_grant_item grant{.account = item.account};
    grant.capacity = capacityFor(account, settings, item, bounds);
    // A rate leased to a VM with low demand would overflow there; in the reserve its tokens can serve all VMs.
    const bool busy = item.demand >= settings.minDemandForRate;
    grant.rate = busy && grant.capacity > 0 ? rateFor(account, item.demand, bounds) : 0;
    account.demand -= item.demand;
    const double refill = grant.rate * std::chrono::duration<double>(settings.renewPeriod).count();
    const double level = std::max(grant.capacity - refill, std::min(1.0 + item.waiting, grant.capacity));
    const double missingTokens = std::min(level - item.level, bounds.free.burst - record.held.granted.burst);
    grant.tokens = std::clamp(missingTokens, 0.0, account.reserve.level);
    account.reserve.level -= grant.tokens;
    const bool wanted = item.waiting > 0;
    if (wanted && item.level + grant.tokens < 1) {
        grant.retryAfter = retryAfter(account, bounds, 1 - item.level - grant.tokens);
    }
    const bool forWaitingOnly = item.waiting > 0 && grant.capacity <= item.waiting + roundingTokens;
    grant.lifetime = std::min(forWaitingOnly ? settings.waitingLeaseLifetime : settings.leaseLifetime, endsAt - now);
    record.offered = {.sequence = record.lastSequence,
                      .granted = {.ratePerSecond = grant.rate, .burst = grant.capacity},
                      .tokens = grant.tokens,
                      .until = now + extendedForDrift(settings, grant.lifetime)};
    return grant;
}

bool isWellFormed(const lease_request_item &item)
{
    const double values[] = {item.heldRate, item.heldCapacity, item.level, item.returnedTokens, item.demand};
    return std::ranges::all_of(values, [](double value) { return std::isfinite(value) && value >= 0; });
}

std::optional<lease_grant_item> grantItem(lease_owner &owner, const limit_settings &settings, const limit_table &limits,
                                          vm_id lessee, std::uint64_t sequence, const lease_request_item &item,
                                          instant now)
{
    share_pool &pool = owner.pools[slotOf(settings, item.account)];
    const instant endsAt = owner.handovers[slotOf(settings, item.account)].endsAt;
    if (usableShares(pool, now) == 0 || endsAt <= now) {
        return std::nullopt; // An owner without shares doesn't know whether the account is over its rate.
    }
    const rate_limit &limit = limitOf(limits, item.account);
    const rate_limit total = limitOfShares(limit, settings, usableShares(pool, now));
    const auto [place, created] = owner.accounts.try_emplace(item.account);
    owned_account &account = place->second;
    if (created) {
        account.reserve = startReserve(pool);
    }
    refillReserve(account.reserve, pool, settings, limit, account.leased, now);
    if (now - account.prunedAt >= settings.renewPeriod) {
        pruneLeases(account, now);
    }
    lessee_record &record = account.lessees[lessee];
    if (sequence <= record.lastSequence) {
        return std::nullopt;
    }
    record.lastSequence = sequence;
    subtractFromTotals(account, record);
    applyConfirmation(record, item, account.reserve);
    dropEndedLeases(record, now);
    const lease_grant_item grant = decideGrant(account, record, settings, total, item, endsAt, now);
    addToTotals(account, record);
    account.reserve.level = std::clamp(account.reserve.level, 0.0, std::max(0.0, total.burst - account.leased.burst));
    return grant;
}

} // namespace

lease_owner startOwner(const limit_settings &settings, instant now)
{
    lease_owner owner;
    owner.pools.assign(settings.slotCount, startPool(now));
    owner.handovers.resize(settings.slotCount);
    return owner;
}

share_request startRound(lease_owner &owner, std::vector<limit_slot> slots, instant now)
{
    constexpr std::size_t roundsKept = 4;
    owner.rounds.push_back({.round = ++owner.lastRound, .startedAt = now});
    if (owner.rounds.size() > roundsKept) {
        owner.rounds.erase(owner.rounds.begin());
    }
    return {.round = owner.lastRound, .slots = std::move(slots)};
}

void acceptDelegation(lease_owner &owner, const limit_settings &settings, vm_id holder,
                      const share_delegation &delegation, instant now)
{
    const auto round = std::ranges::find(owner.rounds, delegation.round, &share_round::round);
    if (round == owner.rounds.end()) {
        return;
    }
    const instant usableUntil =
        round->startedAt + settings.delegationLifetime - extendedForDrift(settings, settings.leaseLifetime);
    for (const limit_slot slot : delegation.slots) {
        if (slot < owner.pools.size() && round->startedAt >= owner.handovers[slot].leasesEnd) {
            addShare(owner.pools[slot], holder, usableUntil, now);
        }
    }
}

lease_grant grantLeases(lease_owner &owner, const limit_settings &settings, const limit_table &limits, vm_id lessee,
                        const lease_request &request, instant now)
{
    lease_grant grant{.sequence = request.sequence};
    for (const lease_request_item &item : request.items) {
        if (!isWellFormed(item)) {
            continue;
        }
        if (const auto answer = grantItem(owner, settings, limits, lessee, request.sequence, item, now)) {
            grant.items.push_back(*answer);
        }
    }
    return grant;
}

void dropIdleAccounts(lease_owner &owner, const limit_settings &settings, const limit_table &limits, instant now)
{
    for (auto entry = owner.accounts.begin(); entry != owner.accounts.end();) {
        owned_account &account = entry->second;
        share_pool &pool = owner.pools[slotOf(settings, entry->first)];
        const rate_limit &limit = limitOf(limits, entry->first);
        refillReserve(account.reserve, pool, settings, limit, account.leased, now);
        pruneLeases(account, now);
        const double full = limitOfShares(limit, settings, usableShares(pool, now)).burst;
        const bool idle = account.lessees.empty() && account.reserve.level >= full;
        entry = idle ? owner.accounts.erase(entry) : std::next(entry);
    }
}

} // namespace guavafront
