#include <guavafront/coordination/warmup/warmup.h>

#include "coordination/routing/rendezvous.h"

#include <algorithm>

namespace guavafront
{

namespace
{

/// Least time between two requests of a sender that counts for one request a second. It is over a second by what the
/// network may delay the first of the two.
constexpr duration leastSpacing = std::chrono::milliseconds(1'100);
/// Time after its start in which a VM sends nothing to cold instances, so that it knows the other VMs by then and the
/// requests that it sent before a restart are further back than its spacing.
constexpr duration settlingTime = std::chrono::milliseconds(1'500);
/// Hubs tell of loads every 0.1 s and instances announce themselves every 1.5 s, so that a VM without news for this
/// long is probably cut off and doesn't hear which instances have become cold.
constexpr duration newsTimeout = std::chrono::seconds(2);
/// Number of senders that send their first request to a cold instance whatever it costs, so that the instance gets a
/// share soon. More than one, since a sender may be lost or have few requests.
constexpr std::uint32_t introducers = 2;
/// Time after which the other senders do so, too, while the instance seems idle. Long enough that the introducers had
/// their turn, and short enough that the instance gets a request within 2 s.
constexpr duration introductionTime = std::chrono::milliseconds(750);
/// How long sent requests are remembered; longer than any useful spacing, since instances are cold for seconds.
constexpr duration sentRetention = std::chrono::seconds(60);

/// Whether this VM may not know which instances are cold.
bool isUninformed(const warmup &state, instant now)
{
    return !state.startedAt || now < *state.startedAt + settlingTime || now >= state.lastNewsAt + newsTimeout;
}

instant lastSent(const warmup &state, instance_id instance)
{
    const auto found = state.lastSentAt.find(instance);
    return found == state.lastSentAt.end() ? instant::min() : found->second;
}

/// Number of entry VMs that come before this one as senders to the instance. VMs in its data centre come first, and
/// among these the ones that prefer the instance in routing/affinity, so that it is one of their candidates.
std::uint32_t senderRank(const warmup &state, instance_id instance, std::string_view dataCentre)
{
    const auto own = std::ranges::find(state.vms, state.self, &entry_vm::id);
    if (own == state.vms.end()) {
        return static_cast<std::uint32_t>(state.vms.size());
    }
    const bool isNear = own->dataCentre == dataCentre;
    const std::uint64_t hash = rendezvousHash(state.self.value, instance.value);
    const auto comesBefore = [&](const entry_vm &other) {
        if (other.id == state.self) {
            return false;
        }
        const bool otherNear = other.dataCentre == dataCentre;
        return otherNear != isNear ? otherNear : rendezvousHash(other.id.value, instance.value) > hash;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(state.vms, comesBefore));
}

/// This VM's place among the senders to an instance, and its part.
struct sender_place {
    bool isSender = false; ///< Whether this VM may send requests to it.
    std::uint32_t rank = 0; ///< Senders that come before this VM.
    duration spacing{}; ///< Least time between two of its requests.
};

sender_place placeOf(const warmup &state, const service_warmup &limit, instance_id instance,
                     std::string_view dataCentre, instant now)
{
    if (!state.startedAt || now < *state.startedAt + settlingTime) {
        return {};
    }
    const warmup_part part = divideWarmupLimit(limit.perSecond, state.bounds, state.vms.size());
    const std::uint32_t rank = senderRank(state, instance, dataCentre);
    return {.isSender = rank < part.senders, .rank = rank, .spacing = part.spacing};
}

/// When a sender, or another VM, may next send a request to a cold instance.
instant turnOf(const warmup &state, const sender_place &place, instance_id instance, instant now)
{
    if (!place.isSender) {
        return state.cold.at(instance).until;
    }
    const instant last = lastSent(state, instance);
    return last == instant::min() ? now : std::max(now, last + place.spacing);
}

/// Whether a sender sends its first request to the cold instance whatever it costs.
bool isDue(const sender_place &place, const cold_period &period, const candidate &member, instant lastSentAt,
           instant now)
{
    const bool seemsIdle = member.outstanding == 0 && member.reportedLoad <= 0;
    return lastSentAt < period.since
           && (place.rank < introducers || (seemsIdle && now >= period.since + introductionTime));
}

} // namespace

warmup_part divideWarmupLimit(double perSecond, const warmup_bounds &bounds, std::size_t vms)
{
    constexpr double mostRequests = 1e6;
    const double limit = std::clamp(perSecond * bounds.overshoot + bounds.slack, 0.0, mostRequests);
    const auto half = static_cast<std::uint32_t>(limit / 2);
    const auto senders = static_cast<std::uint32_t>(std::min<std::size_t>(half, vms));
    if (senders == 0 || perSecond <= 0) {
        return {};
    }
    // In a small fleet each sender may send several requests in a second.
    const std::uint32_t eachInSecond = half / senders;
    // The sustained rate is halfway between the limit and what the overshoot allows, since senders with few requests
    // don't use up their parts.
    const std::chrono::duration<double> sustained(senders / (perSecond * (1 + std::max(bounds.overshoot, 1.0)) / 2));
    return {.senders = senders,
            .spacing = std::max(std::chrono::duration_cast<duration>(sustained), leastSpacing / eachInSecond)};
}

void applyWarmupLimits(warmup &state, const configuration &current)
{
    state.limits = current.warmups;
}

void updateEntryVms(warmup &state, const entry_vm_view &view)
{
    state.vms = view.live;
    state.seesMajority = view.seesMajority;
    if (!view.seesMajority) {
        for (const entry_vm &lost : view.declaredDead) {
            if (std::ranges::find(state.vms, lost.id, &entry_vm::id) == state.vms.end()) {
                state.vms.push_back(lost);
            }
        }
    }
}

const service_warmup *findWarmupLimit(const warmup &state, std::string_view service)
{
    const auto found = std::ranges::lower_bound(state.limits, service, {}, &service_warmup::service);
    return found != state.limits.end() && found->service == service ? &*found : nullptr;
}

bool recordWarmup(warmup &state, const warmup_notice &notice, instant now)
{
    if (notice.left <= duration::zero()) {
        state.cold.erase(notice.instance);
        return false;
    }
    cold_period &period = state.cold[notice.instance];
    const bool isNew = period.until <= now;
    if (isNew) {
        period = {.since = now, .until = now};
    }
    period.until = std::max(period.until, now + notice.left);
    return isNew;
}

void markCold(warmup &state, instance_id instance, instant until, instant now)
{
    if (until > now) {
        recordWarmup(state, {instance, until - now}, now);
    }
}

void markDataCentreCold(warmup &state, const registry &known, std::string_view dataCentre, instant now)
{
    for (const service_warmup &limit : state.limits) {
        for (const registered_instance &each : instancesOf(known, limit.service)) {
            if (each.last.dataCentre == dataCentre) {
                markCold(state, each.last.instance, now + std::chrono::milliseconds(limit.warmupMs), now);
            }
        }
    }
}

bool isCold(const warmup &state, instance_id instance, instant now)
{
    const auto found = state.cold.find(instance);
    return found != state.cold.end() && now < found->second.until;
}

std::vector<warmup_notice> coldInstances(const warmup &state, instant now)
{
    std::vector<warmup_notice> notices;
    for (const auto &[instance, period] : state.cold) {
        if (now < period.until) {
            notices.push_back({instance, period.until - now});
        }
    }
    std::ranges::sort(notices, {}, [](const warmup_notice &each) { return each.instance.value; });
    return notices;
}

instant nextTurn(const warmup &state, const service_warmup &limit, instance_id instance, std::string_view dataCentre,
                 instant now)
{
    if (!isCold(state, instance, now)) {
        return now;
    }
    return turnOf(state, placeOf(state, limit, instance, dataCentre, now), instance, now);
}

warmup_decision decideWarmup(const warmup &state, const service_warmup &limit, std::span<const candidate> members,
                             const registry &known, instant now)
{
    warmup_decision decision;
    std::vector<instance_id> notSenderTo;
    const bool uninformed = isUninformed(state, now);
    for (const candidate &member : members) {
        const instance_id instance = member.instance;
        const bool cold = isCold(state, instance, now);
        if (!cold && !uninformed) {
            continue;
        }
        const instant last = lastSent(state, instance);
        const registered_instance *entry = findInstance(known, instance);
        const std::string_view dataCentre = entry ? std::string_view(entry->last.dataCentre) : std::string_view();
        const sender_place place = placeOf(state, limit, instance, dataCentre, now);
        if (!cold) {
            if (last != instant::min() && now < last + leastSpacing) {
                decision.doubtful.push_back(instance);
            } else if (!state.seesMajority && !place.isSender) {
                notSenderTo.push_back(instance);
            }
        } else if (turnOf(state, place, instance, now) > now) {
            decision.heldBack.push_back(instance);
        } else if (isDue(place, state.cold.at(instance), member, last, now)) {
            decision.due.push_back(instance);
        }
    }
    decision.restingCount = decision.doubtful.size();
    decision.doubtful.insert(decision.doubtful.end(), notSenderTo.begin(), notSenderTo.end());
    std::ranges::stable_sort(decision.due, {}, [&state](instance_id each) { return state.cold.at(each).since; });
    return decision;
}

void recordSent(warmup &state, instance_id instance, instant now)
{
    state.lastSentAt[instance] = now;
}

void removeOldWarmups(warmup &state, instant now)
{
    std::erase_if(state.cold, [now](const auto &each) { return each.second.until <= now; });
    std::erase_if(state.lastSentAt, [now](const auto &each) { return each.second + sentRetention <= now; });
}

} // namespace guavafront
