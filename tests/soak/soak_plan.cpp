#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <string_view>

namespace guavafront
{

namespace
{

using std::chrono::milliseconds;

constexpr duration catchUp = milliseconds(4'200); ///< CatchUpS of the platform, with the start of a process.
constexpr duration recovery = milliseconds(15'200); ///< RecoverS, with the same.
constexpr duration settling = milliseconds(3'300); ///< SettleWindowMs, with the same.
constexpr int versionStep = 4;
constexpr int firstAdded = 1;

constexpr std::array<std::string_view, 14> faultNames{
    "kill control",   "freeze control",    "wipe control",           "replace control",           "stop control",
    "reload control", "kill all controls", "wipe while others down", "replace while others down", "kill entry",
    "stop entry",     "reload entry",      "kill everything",        "wipe while everything down"};
constexpr std::array<std::string_view, 4> actionNames{"send", "send again", "send older", "send other content"};

using generator = std::mt19937_64;

int pick(generator &random, int below)
{
    return static_cast<int>(random() % static_cast<std::uint64_t>(below));
}

duration between(generator &random, int leastMs, int mostMs)
{
    return milliseconds(leastMs + pick(random, mostMs - leastMs + 1));
}

bool isOverlap(fault_kind kind)
{
    return kind == fault_kind::WipeWhileOthersDown || kind == fault_kind::ReplaceWhileOthersDown;
}

duration downtimeOf(fault_kind kind, generator &random)
{
    switch (kind) {
    case fault_kind::FreezeControl:
        return between(random, 1'000, 6'000);
    case fault_kind::ReloadControl:
    case fault_kind::ReloadEntry:
        return {};
    default:
        return between(random, 200, 2'000);
    }
}

planned_fault faultOf(generator &random, const soak_size &size)
{
    constexpr std::array kinds{
        fault_kind::KillControl,     fault_kind::FreezeControl,       fault_kind::WipeControl,
        fault_kind::WipeControl,     fault_kind::ReplaceControl,      fault_kind::ReplaceControl,
        fault_kind::ReplaceControl,  fault_kind::StopControl,         fault_kind::ReloadControl,
        fault_kind::KillAllControls, fault_kind::WipeWhileOthersDown, fault_kind::ReplaceWhileOthersDown,
        fault_kind::KillEntry,       fault_kind::StopEntry,           fault_kind::StopEntry,
        fault_kind::ReloadEntry};
    planned_fault fault{.kind = kinds[random() % kinds.size()], .leader = pick(random, 2) == 0};
    const bool entry = fault.kind == fault_kind::KillEntry || fault.kind == fault_kind::StopEntry
                       || fault.kind == fault_kind::ReloadEntry;
    fault.place = pick(random, static_cast<int>(entry ? size.entries : size.controls));
    fault.leader = fault.leader && !entry;
    fault.downtime = downtimeOf(fault.kind, random);
    const duration least = isOverlap(fault.kind) ? recovery : catchUp;
    fault.pause = least + between(random, 0, 1'000);
    return fault;
}

/// Adds a change with one new route and without some of the oldest ones.
planned_change nextChange(generator &random, std::uint64_t &version, std::vector<int> &routes, int &nextRoute)
{
    constexpr std::size_t mostRoutes = 4;
    version += 1 + static_cast<std::uint64_t>(pick(random, versionStep));
    if (routes.size() >= mostRoutes || (!routes.empty() && pick(random, 2) == 0)) {
        routes.erase(routes.begin() + pick(random, static_cast<int>(routes.size())));
    }
    routes.push_back(nextRoute++);
    return {.version = version, .routes = routes};
}

/// Adds orders of all operators from the given time to the end of the time for orders.
void addOrders(generator &random, const soak_size &size, soak_plan &plan)
{
    std::uint64_t version = 1;
    std::vector<int> routes;
    int nextRoute = firstAdded;
    plan.changes.push_back({.version = version});
    duration at = between(random, 200, 800);
    for (; at < size.orderTime; at += between(random, 250, 1'100)) {
        planned_order order{.at = at, .sender = pick(random, size.senders), .change = plan.changes.size()};
        const int kind = pick(random, 10);
        if (kind == 0) {
            order.action = operator_action::SendAgain;
        } else if (kind == 1) {
            order.action = operator_action::SendOlder;
        } else if (kind <= 3) {
            // The version is that of the change that is held when it is sent.
            order.action = operator_action::SendOther;
            plan.changes.push_back({.kind = change_kind::OtherContent, .baitRoute = static_cast<int>(order.change)});
        } else if (kind == 4) {
            version += 1 + static_cast<std::uint64_t>(pick(random, versionStep));
            plan.changes.push_back({.version = version,
                                    .kind = change_kind::Invalid,
                                    .flaw = static_cast<defect>(pick(random, defectCount)),
                                    .routes = routes,
                                    .baitRoute = static_cast<int>(order.change)});
        } else {
            plan.changes.push_back(nextChange(random, version, routes, nextRoute));
        }
        plan.orders.push_back(order);
    }
    plan.finalChange = plan.changes.size();
    plan.changes.push_back(nextChange(random, version, routes, nextRoute));
}

void addFaults(generator &random, const soak_size &size, soak_plan &plan)
{
    bool overlapped = false;
    for (duration at{}; at < size.faultTime;) {
        const planned_fault fault = faultOf(random, size);
        // One with RecoverS behind it would leave no time for others.
        if (isOverlap(fault.kind) && (overlapped || at + lengthOf(fault) > size.faultTime + settling)) {
            continue;
        }
        overlapped = overlapped || isOverlap(fault.kind);
        plan.faults.push_back(fault);
        at += lengthOf(fault);
    }
    constexpr std::array finals{fault_kind::KillAllControls, fault_kind::KillEverything, fault_kind::WipeControl,
                                fault_kind::WipeWhileOthersDown, fault_kind::WipeWhileEverythingDown};
    plan.finalFault = {.kind = finals[random() % finals.size()],
                       .place = pick(random, static_cast<int>(size.controls)),
                       .leader = pick(random, 2) == 0,
                       .downtime = milliseconds(1'000)};
}

/// Adds evacuations, each long enough to be checked. They have random numbers of their own, so that the other parts of
/// a seed's plan don't depend on them.
void addEvacuations(const soak_size &size, soak_plan &plan)
{
    generator random(plan.seed ^ 0x65766163U);
    for (duration at = between(random, 1'000, 6'000); at < size.orderTime; at += between(random, 5'000, 9'000)) {
        plan.evacuations.push_back({.at = at, .length = between(random, 6'000, 12'000)});
        at += plan.evacuations.back().length;
    }
}

std::string inSeconds(duration time)
{
    std::ostringstream text;
    text.precision(2);
    text << std::fixed << std::chrono::duration<double>(time).count() << " s";
    return text.str();
}

std::string describe(const planned_fault &fault)
{
    std::string text(faultNames.at(static_cast<std::size_t>(fault.kind)));
    text += fault.leader ? " (leader)" : " (place " + std::to_string(fault.place) + ')';
    return text + ", down " + inSeconds(fault.downtime) + ", then " + inSeconds(fault.pause);
}

} // namespace

soak_plan planOf(std::uint64_t seed, const soak_size &size)
{
    generator random(seed);
    soak_plan plan{.seed = seed};
    addOrders(random, size, plan);
    addFaults(random, size, plan);
    addEvacuations(size, plan);
    return plan;
}

duration lengthOf(const planned_fault &fault)
{
    return fault.downtime + fault.pause;
}

std::string describe(const soak_plan &plan)
{
    std::ostringstream text;
    text << "plan of GUAVAFRONT_SEED=" << plan.seed << '\n';
    for (const planned_fault &fault : plan.faults) {
        text << "  " << describe(fault) << '\n';
    }
    text << "  at the end: " << describe(plan.finalFault) << '\n';
    for (const planned_evacuation &each : plan.evacuations) {
        text << "  " << inSeconds(each.at) << " evacuation for " << inSeconds(each.length) << '\n';
    }
    for (const planned_order &order : plan.orders) {
        const planned_change &change = plan.changes[order.change];
        text << "  " << inSeconds(order.at) << " operator " << order.sender << ' '
             << actionNames.at(static_cast<std::size_t>(order.action));
        if (order.action == operator_action::Send) {
            text << " version " << change.version
                 << (change.kind == change_kind::Invalid ? " (invalid), routes" : ", routes");
            for (const int route : change.routes) {
                text << ' ' << route;
            }
        }
        text << '\n';
    }
    return text.str();
}

} // namespace guavafront
