#include <guavafront/coordination/limits/lessee.h>

#include <guavafront/coordination/limits/share_pool.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// With this many arrivals, a single period is enough to replace the smoothed demand.
constexpr std::uint32_t significantArrivals = 8;
/// Weight of the latest period in the smoothed demand, 0 to 1.
constexpr double latestPeriodWeight = 0.2;
/// If at least this many arrivals were expected in a period and none came, the traffic has stopped at this VM.
constexpr double minExpectedArrivals = 4;
/// Demand below this many requests per second counts as none.
constexpr double negligibleDemand = 0.05;
/// Factor by which a leased rate may exceed the measured demand before the VM gives up the rest.
constexpr double rateHeadroom = 1.25;

double secondsOf(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void measureDemand(leased_account &account, const limit_settings &settings, instant now)
{
    const duration elapsed = now - account.demandMeasuredAt;
    const double sample = account.arrivals / secondsOf(std::max(elapsed, settings.renewPeriod));
    const bool surge = account.arrivals >= significantArrivals && sample > account.demand;
    if (elapsed < settings.renewPeriod) {
        account.demand = surge ? sample : account.demand;
        return;
    }
    const double expectedArrivals = account.demand * secondsOf(elapsed);
    const bool slump = expectedArrivals >= significantArrivals && account.arrivals < expectedArrivals / 2;
    const bool stopped = expectedArrivals >= minExpectedArrivals && account.arrivals == 0;
    if (surge || slump || stopped) {
        account.demand = sample;
    } else {
        account.demand += latestPeriodWeight * (sample - account.demand);
    }
    if (account.demand < negligibleDemand && account.arrivals == 0) {
        account.demand = 0;
    }
    account.arrivals = 0;
    account.demandMeasuredAt = now;
}

double neededCapacity(const leased_account &account, const limit_settings &settings)
{
    if (account.demand <= 0 && account.waiting == 0) {
        return 0;
    }
    return 1 + account.waiting + 2 * secondsOf(settings.renewPeriod) * account.demand;
}

void refillBucket(token_bucket &bucket, const limit_settings &settings, instant now)
{
    if (now > bucket.refilledAt) {
        bucket.level += refillTokens(settings, bucket.limit.ratePerSecond, now - bucket.refilledAt);
        bucket.refilledAt = now;
    }
    bucket.level = std::min(bucket.level, bucket.limit.burst);
}

void refillAccount(leased_account &account, const limit_settings &settings, const rate_limit &limit,
                   instant shareUsableFrom, instant now)
{
    if (now >= account.leaseEnd) {
        account.lease = {.refilledAt = now};
    }
    refillBucket(account.lease, settings, now);
    account.ownShare.limit = limitOfShares(limit, settings, 1);
    if (account.ownShare.refilledAt < shareUsableFrom) {
        account.ownShare.level = 0;
        account.ownShare.refilledAt = shareUsableFrom;
    }
    refillBucket(account.ownShare, settings, now);
}

bool takeToken(leased_account &account)
{
    token_bucket &bucket = account.lease.level >= 1 ? account.lease : account.ownShare;
    if (bucket.level < 1) {
        return false;
    }
    bucket.level -= 1;
    return true;
}

lease_request_item prepareRequest(leased_account &account, account_id id, const limit_settings &settings, vm_id owner,
                                  std::uint64_t sequence, instant now)
{
    measureDemand(account, settings, now);
    lease_request_item item{.account = id, .demand = account.demand, .waiting = account.waiting};
    if (account.leaseOwner == owner) {
        token_bucket &lease = account.lease;
        lease.limit.burst = std::min(lease.limit.burst, neededCapacity(account, settings));
        lease.limit.ratePerSecond = std::min(lease.limit.ratePerSecond, rateHeadroom * account.demand);
        item.returnedTokens = std::max(0.0, lease.level - lease.limit.burst);
        lease.level -= item.returnedTokens;
        item.appliedSequence = account.leaseSequence;
        item.heldRate = lease.limit.ratePerSecond;
        item.heldCapacity = lease.limit.burst;
        item.level = lease.level;
    }
    account.awaitingGrant = true;
    account.requestSequence = sequence;
    account.requestOwner = owner;
    account.requestedAt = now;
    return item;
}

bool acceptGrant(leased_account &account, const limit_settings &settings, vm_id owner, std::uint64_t sequence,
                 const lease_grant_item &grant, instant now)
{
    const bool expected = account.awaitingGrant && account.requestSequence == sequence && account.requestOwner == owner;
    const instant end = account.requestedAt + std::min(grant.lifetime, settings.leaseLifetime);
    if (!expected || now >= end) {
        return false;
    }
    const double kept = account.leaseOwner == owner ? account.lease.level : 0;
    account.lease.limit = {.ratePerSecond = grant.rate, .burst = grant.capacity};
    account.lease.level = std::min(kept + grant.tokens, grant.capacity);
    account.lease.refilledAt = now;
    account.leaseSequence = sequence;
    account.leaseOwner = owner;
    account.leaseEnd = end;
    account.awaitingGrant = false;
    account.tokenExpectedAt = now + grant.retryAfter;
    account.ownerEmptyUntil = now + std::min(grant.retryAfter, settings.renewPeriod);
    return true;
}

} // namespace guavafront
