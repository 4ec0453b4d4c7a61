#include "soak/soak_checks.h"

#include "soak/soak_bounds.h"
#include "soak/soak_evacuations.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::size_t mostShown = 8; ///< Findings of one check that are told one by one.
constexpr int mostDenied = 10; ///< Denied requests for what all versions allow, from VMs that are out of touch.

std::string versionText(std::uint64_t version)
{
    return "version " + std::to_string(version);
}

bool isRefusal(int status)
{
    constexpr std::array notRefused{408, 421, 429};
    return status >= 400 && status < 500 && std::ranges::find(notRefused, status) == notRefused.end();
}

/// Number of times that the VM's process had been started again by then; empty while it is down or stopping.
std::optional<int> lifeAt(const soak_record &record, const seen_request &request)
{
    int life = 0;
    for (const disturbance &each : record.disturbances) {
        const bool ends = each.kind == disturbance_kind::Down || each.kind == disturbance_kind::Stopped;
        if (each.vm != request.vm || !ends) {
            continue;
        }
        if (each.from <= request.endedAt && each.to >= request.sentAt) {
            return std::nullopt;
        }
        life += each.to < request.sentAt ? 1 : 0;
    }
    return life;
}

/// Lowest version that holds a later route; 0 for none.
std::uint64_t firstVersionWith(const soak_record &record, int route)
{
    std::uint64_t lowest = 0;
    for (const planned_change &each : record.changes) {
        if (each.kind == change_kind::Valid && holdsRoute(each, route) && (lowest == 0 || each.version < lowest)) {
            lowest = each.version;
        }
    }
    return lowest;
}

findings checkBait(const soak_record &record, change_kind kind, const std::string &what)
{
    findings broken;
    for (const seen_request &each : record.requests) {
        const bool bait = each.route < 0 && each.status == statusOk;
        if (bait && std::ranges::any_of(record.changes, [&](const planned_change &change) {
                return change.kind == kind && change.baitRoute == -1 - each.route;
            })) {
            broken.push_back("CONFIG: " + what + " is in force: " + describe(record, each));
        }
    }
    return broken;
}

/// When a request showed that a version or a higher one was in force.
struct seen_effect {
    instant at{}; ///< When its answer was complete.
    std::uint64_t version = 0; ///< Lowest version that holds its route.
};

std::vector<seen_effect> effectsOf(const soak_record &record, const std::vector<const seen_request *> &requests)
{
    std::vector<seen_effect> effects;
    for (const seen_request *each : requests) {
        if (each->route > 0 && each->status == statusOk) {
            effects.push_back({each->endedAt, firstVersionWith(record, each->route)});
        }
    }
    return effects;
}

using life_of_process = std::pair<std::string, int>; ///< VM, and how many times it had been started again.

std::map<life_of_process, std::vector<const seen_request *>> requestsByLife(const soak_record &record)
{
    std::map<life_of_process, std::vector<const seen_request *>> lives;
    for (const seen_request &each : record.requests) {
        if (const std::optional<int> life = lifeAt(record, each); life && each.route >= 0) {
            lives[{each.vm, *life}].push_back(&each);
        }
    }
    return lives;
}

/// Whether a request was handled as no version from `least` on says that was sent by its end.
bool isOlderThan(const soak_record &record, const seen_request &request, std::uint64_t least)
{
    const bool denied = isDenied(request.status);
    if (!denied && request.status != statusOk) {
        return false;
    }
    const auto allowed = candidates(record, least, request.endedAt);
    return denied ? allHold(allowed, request.route) : noneHolds(allowed, request.route);
}

/// Requests on later routes that the VM has to serve, and how many of them it served.
struct served_share {
    int asked = 0; ///< Requests.
    int served = 0; ///< Of these, those that were answered 200.
};

} // namespace

findings checkApplied(const soak_record &record)
{
    findings broken;
    int deniedFirst = 0;
    for (const seen_request &each : record.requests) {
        deniedFirst += each.route == 0 && isDenied(each.status) ? 1 : 0;
        const std::optional<duration> bound = applyBound(record, each.vm, each.sentAt, each.endedAt);
        if (!bound || each.route < 0) {
            continue;
        }
        const std::uint64_t least = acknowledgedBy(record, each.sentAt - *bound);
        if (least != 0 && isOlderThan(record, each, least)) {
            broken.push_back("CONFIG: handled as before acknowledged " + versionText(least) + ": "
                             + describe(record, each));
        }
    }
    if (deniedFirst > mostDenied) {
        broken.push_back("DENIED: " + std::to_string(deniedFirst) + " requests on routes that all versions hold");
    }
    return broken;
}

findings checkReadsNotOlder(const soak_record &record)
{
    findings broken;
    for (const seen_read &each : record.reads) {
        const std::uint64_t least = acknowledgedBy(record, each.sentAt - configApply);
        if (each.version < least) {
            broken.push_back("CONFIG: " + each.vm + " gave " + versionText(each.version) + " for a read sent at "
                             + timeText(record, each.sentAt) + ", older than acknowledged " + versionText(least));
        }
    }
    return broken;
}

findings checkNotRolledBack(const soak_record &record)
{
    findings broken;
    for (const auto &[life, requests] : requestsByLife(record)) {
        const std::vector<seen_effect> effects = effectsOf(record, requests);
        for (const seen_request *each : requests) {
            std::uint64_t least = 0;
            for (const seen_effect &earlier : effects) {
                if (earlier.at + rollbackSlack < each->sentAt) {
                    least = std::max(least, earlier.version);
                }
            }
            if (least != 0 && isOlderThan(record, *each, least)) {
                broken.push_back("CONFIG: the effect of " + versionText(least)
                                 + " was taken back: " + describe(record, *each));
            }
        }
    }
    return broken;
}

findings checkInvalidRefused(const soak_record &record)
{
    findings broken = checkBait(record, change_kind::Invalid, "an invalid configuration");
    std::set<std::uint64_t> invalid;
    for (const sent_change &each : record.sent) {
        if (record.changes[each.change].kind != change_kind::Invalid) {
            continue;
        }
        invalid.insert(each.version);
        if (each.status == statusOk) {
            broken.push_back("CONFIG: invalid " + versionText(each.version) + " was acknowledged by " + each.vm + " at "
                             + timeText(record, each.endedAt));
        }
    }
    for (const seen_read &each : record.reads) {
        if (invalid.contains(each.version)) {
            broken.push_back("CONFIG: " + each.vm + " gave invalid " + versionText(each.version));
        }
    }
    return broken;
}

findings checkContentKept(const soak_record &record)
{
    findings broken = checkBait(record, change_kind::OtherContent, "other content under a version held");
    for (const seen_read &each : record.reads) {
        if (!each.asSent) {
            broken.push_back("CONFIG: " + each.vm + " gave other content for " + versionText(each.version) + " at "
                             + timeText(record, each.endedAt));
        }
    }
    return broken;
}

findings checkNotRefused(const soak_record &record)
{
    findings broken;
    for (const sent_change &each : record.sent) {
        if (record.changes[each.change].kind == change_kind::Valid && isRefusal(each.status)) {
            broken.push_back("CONFIG: " + versionText(each.version) + (each.again ? " was sent again and" : " was")
                             + " refused with " + std::to_string(each.status) + " by " + each.vm + " at "
                             + timeText(record, each.endedAt));
        }
    }
    return broken;
}

findings checkLaterRoutesServed(const soak_record &record)
{
    constexpr int leastAsked = 20;
    constexpr int leastShare = 4; // A later route is served a quarter as often, at least.
    served_share first;
    served_share later;
    for (const seen_request &each : record.requests) {
        if (applyBound(record, each.vm, each.sentAt, each.endedAt) != configApply || each.route < 0) {
            continue;
        }
        const std::uint64_t least = acknowledgedBy(record, each.sentAt - configApply);
        if (least != 0 && allHold(candidates(record, least, each.endedAt), each.route)) {
            served_share &share = each.route == 0 ? first : later;
            ++share.asked;
            share.served += each.status == statusOk ? 1 : 0;
        }
    }
    if (later.asked >= leastAsked && first.asked > 0
        && leastShare * later.served * first.asked < first.served * later.asked) {
        return {"CONFIG: " + std::to_string(later.served) + " of " + std::to_string(later.asked)
                + " requests on later routes were served, and " + std::to_string(first.served) + " of "
                + std::to_string(first.asked) + " on the first ones"};
    }
    return {};
}

findings checkFinalReads(const soak_record &record)
{
    findings broken;
    const std::uint64_t least = acknowledgedBy(record, instant::max());
    if (!record.finalAcknowledged) {
        broken.emplace_back("CONFIG: the change before the final fault, sent in calm, was not acknowledged");
    }
    for (const final_read &each : record.finalReads) {
        const std::string head = "CONFIG: after the final fault " + each.vm;
        if (!each.came) {
            broken.push_back(head + " didn't give the configuration: " + each.last);
        } else if (each.version < least || !each.asSent) {
            broken.push_back(head + " gave " + versionText(each.version) + (each.asSent ? "" : ", not as sent,")
                             + " for acknowledged " + versionText(least));
        } else if (each.after > recover) {
            broken.push_back(head + " gave it after "
                             + std::to_string(std::chrono::duration_cast<milliseconds>(each.after).count()) + " ms");
        }
    }
    return broken;
}

findings checkPlannedWorkCutsNothing(const soak_record &record)
{
    const std::map<std::string, int> arrivals = countArrivals(record);
    const auto isUnplanned = [](const disturbance &each) {
        return each.kind == disturbance_kind::Down || each.kind == disturbance_kind::Frozen;
    };
    const auto isWorkOn = [](const seen_request &request, const disturbance &each) {
        const duration until = each.kind == disturbance_kind::Stopped ? grace + seconds(1) : configApply;
        return each.vm == request.vm && request.endedAt >= each.from && request.sentAt <= each.from + until
               && (each.kind == disturbance_kind::Stopped || each.kind == disturbance_kind::Reloaded);
    };
    findings broken;
    for (const seen_request &each : record.requests) {
        const bool arrived = arrivals.contains(each.id);
        const bool lost = each.status == 0 && each.cut && (arrived || each.endedAt - each.sentAt > lossSlack);
        const bool replaced = each.status > statusOk && arrived; // The instances here answer all requests 200.
        const bool calm = std::ranges::none_of(record.disturbances, [&](const disturbance &other) {
            return isUnplanned(other) && other.from <= each.endedAt && other.to >= each.sentAt - settleWindow;
        });
        if ((lost || replaced) && calm && std::ranges::any_of(record.disturbances, [&](const disturbance &work) {
                return isWorkOn(each, work);
            })) {
            broken.push_back("LOST: cut by planned work: " + describe(record, each));
        }
    }
    return broken;
}

findings checkRunOnce(const soak_record &record)
{
    const std::map<std::string, int> arrivals = countArrivals(record);
    constexpr std::array promises{408, 421, 429, statusUnavailable};
    findings broken;
    for (const seen_request &each : record.requests) {
        const auto found = arrivals.find(each.id);
        if (!each.once || found == arrivals.end()) {
            continue;
        }
        if (found->second > 1) {
            broken.push_back("TWICE: run " + std::to_string(found->second) + " times: " + describe(record, each));
        }
        if (std::ranges::find(promises, each.status) != promises.end()) {
            broken.push_back("REFUSED: answered as not run, but run: " + describe(record, each));
        }
    }
    return broken;
}

findings checkNoneEnded(const soak_record &record)
{
    findings broken;
    for (const std::string &vm : record.ended) {
        broken.push_back("Fault: the process of " + vm + " ended by itself");
    }
    return broken;
}

findings checkAll(const soak_record &record)
{
    findings all;
    for (const auto &check : {checkApplied, checkReadsNotOlder, checkNotRolledBack, checkInvalidRefused,
                              checkContentKept, checkNotRefused, checkLaterRoutesServed, checkFinalReads,
                              checkPlannedWorkCutsNothing, checkRunOnce, checkNoneEnded, checkEvacuated}) {
        findings broken = check(record);
        const std::size_t shown = std::min(broken.size(), mostShown);
        all.insert(all.end(), broken.begin(), broken.begin() + static_cast<std::ptrdiff_t>(shown));
        if (shown < broken.size()) {
            all.push_back("and " + std::to_string(broken.size() - shown) + " more of this check");
        }
    }
    return all;
}

} // namespace guavafront
