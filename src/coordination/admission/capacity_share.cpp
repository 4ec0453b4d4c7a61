#include <guavafront/coordination/admission/capacity_share.h>

#include <algorithm>
#include <cmath>

namespace guavafront
{

namespace
{

/// Longest time that one update accounts for; a VM without requests isn't updated.
constexpr double maxStepSeconds = 0.5;
/// Load taken for the rate at which work gets done while the sums are outdated: the share is used without queues.
constexpr double unknownLoad = 1;
/// Bound of the credit below zero, so that one very long request doesn't keep the VM waiting for many times its length.
constexpr double maxDebtSeconds = 2;

/// Requests beyond the limit that ones of higher rank may borrow at once.
constexpr double mostBorrowed = 2;
/// Slot seconds that may be borrowed. One request in most services takes less.
constexpr double mostBorrowedSeconds = 0.6;
/// Debt in slot seconds up to which the whole part of the limit may be used.
constexpr double toleratedDebtSeconds = 0.2;

double secondsOf(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Boost after an update by current sums.
double nextBoost(const capacity_share &share, double fairShare, std::uint32_t running, bool waiting, double seconds,
                 const capacity_parameters &parameters)
{
    if (share.load >= parameters.severeLoad) {
        // The factor by which the load is too high, applied to what this VM uses rather than to its limit, which may be
        // far above.
        const double used = static_cast<double>(running) / fairShare;
        return std::clamp(used * parameters.scarceLoad / share.load, 1.0, std::max(share.boost, 1.0));
    }
    if (share.load < parameters.ampleLoad && !waiting) {
        return parameters.maxBoost;
    }
    const double distance = parameters.scarceLoad - share.load;
    const double rate = distance > 0 ? parameters.boostGrowth : parameters.boostDecrease;
    return std::clamp(share.boost * std::exp(rate * distance * seconds), 1.0, parameters.maxBoost);
}

} // namespace

void accrueCredit(capacity_share &share, std::uint32_t running, instant now)
{
    const double seconds = std::min(maxStepSeconds, secondsOf(now - share.accruedAt));
    share.creditSeconds += (share.limit - static_cast<double>(running)) * seconds;
    share.accruedAt = now;
}

void updateShare(capacity_share &share, const service_capacity &capacity, std::uint32_t running, bool waiting,
                 instant now, const capacity_parameters &parameters)
{
    const bool first = share.boost == 0;
    const double seconds = first ? 0 : std::min(maxStepSeconds, secondsOf(now - share.updatedAt));
    share.updatedAt = now;
    accrueCredit(share, running, now);
    share.boost = first ? 1 : share.boost;
    if (capacity.slots == 0) { // The choice of an instance refuses the requests at once.
        share.unlimited = true;
        return;
    }
    const double slots = capacity.slots;
    const double fairShare = parameters.scarceLoad * slots / std::max(1U, capacity.vms);
    share.load = capacity.current ? static_cast<double>(capacity.requests) / slots : unknownLoad;
    share.boost = capacity.current ? nextBoost(share, fairShare, running, waiting, seconds, parameters) : 1;
    share.unlimited = share.boost >= parameters.maxBoost;
    share.limit = fairShare * share.boost;
    // With a limit below one the credit must still reach that of one request.
    const double saved = std::max(share.limit * secondsOf(parameters.saving), share.threshold);
    share.creditSeconds = std::clamp(share.creditSeconds, -maxDebtSeconds, saved);
}

bool hasShareLeft(const capacity_share &share, std::uint32_t running)
{
    const double whole = std::floor(share.limit);
    // What was borrowed is paid back before the whole part of the limit is used again.
    return share.unlimited || (running < whole && share.creditSeconds > -toleratedDebtSeconds)
           || (running < whole + 1 && share.creditSeconds >= share.threshold);
}

bool canBorrow(const capacity_share &share, std::uint32_t running)
{
    return running < std::floor(share.limit) + mostBorrowed && share.creditSeconds > -mostBorrowedSeconds;
}

void useShare(capacity_share &share, double workSeconds, std::mt19937_64 &random)
{
    share.threshold = std::uniform_real_distribution<double>(0, std::max(workSeconds, 0.001) / 2)(random);
}

double drainRate(const capacity_share &share)
{
    return share.limit / std::max(1.0, share.load);
}

std::optional<duration> timeToNext(const capacity_share &share, std::uint32_t running)
{
    if (hasShareLeft(share, running)) {
        return duration::zero();
    }
    const double rate = share.limit - static_cast<double>(running);
    if (rate <= 0) {
        return std::nullopt;
    }
    const double needed = running < std::floor(share.limit) ? -toleratedDebtSeconds : share.threshold;
    const double seconds = std::max(0.0, needed - share.creditSeconds) / rate;
    return duration(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

} // namespace guavafront
