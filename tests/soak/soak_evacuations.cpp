#include "soak/soak_evacuations.h"

#include "fleet/platform_processes.h"
#include "runtime/loop.h"
#include "soak/soak_bounds.h"

#include <algorithm>
#include <map>
#include <thread>

namespace guavafront
{

namespace
{

/// Sends an order until it is acknowledged or the player is stopped; returns whether it was.
bool orderUntilAcknowledged(const std::stop_token &stop, const soak_scene &scene, std::string_view call)
{
    while (!stop.stop_requested()) {
        if (scene.fleet.orderEvacuation(call, evacuatedZone) == statusOk) {
            return true;
        }
    }
    return false;
}

void sleepUntil(const std::stop_token &stop, instant time)
{
    constexpr duration step = milliseconds(50);
    while (!stop.stop_requested() && loop::now() < time) {
        std::this_thread::sleep_for(step);
    }
}

} // namespace

std::string zoneOf(const soak_scene &scene, const std::string &instance)
{
    return instance == scene.instances.back() ? "occ-b" : evacuatedZone;
}

void playEvacuations(const std::stop_token &stop, const soak_scene &scene, std::vector<seen_evacuation> &seen)
{
    for (const planned_evacuation &each : scene.plan.evacuations) {
        sleepUntil(stop, scene.startedAt + each.at);
        if (!orderUntilAcknowledged(stop, scene, "evacuation.start")) {
            return;
        }
        seen.push_back({.acknowledgedAt = loop::now(), .instances = scene.instances});
        seen.back().instances.pop_back();
        sleepUntil(stop, seen.back().acknowledgedAt + each.length);
        seen.back().revokedAt = loop::now();
        if (!orderUntilAcknowledged(stop, scene, "evacuation.end")) {
            return;
        }
    }
}

findings checkEvacuated(const soak_record &record)
{
    std::map<std::string, const seen_request *> requests;
    for (const seen_request &each : record.requests) {
        requests[each.id] = &each;
    }
    findings broken;
    for (const seen_evacuation &order : record.evacuations) {
        for (const seen_arrival &arrival : record.arrivals) {
            const auto request = requests.find(arrival.id);
            const bool evacuated = std::ranges::find(order.instances, arrival.instance) != order.instances.end();
            if (!evacuated || arrival.at >= order.revokedAt || request == requests.end()) {
                continue;
            }
            const seen_request &sent = *request->second;
            const auto bound = applyBound(record, sent.vm, sent.sentAt, sent.endedAt);
            if (bound && arrival.at > order.acknowledgedAt + std::max(*bound, evacuationTime)) {
                broken.push_back("EVACUATED: acknowledged at " + timeText(record, order.acknowledgedAt)
                                 + ", but reached at " + timeText(record, arrival.at) + " by "
                                 + describe(record, sent));
            }
        }
    }
    return broken;
}

} // namespace guavafront
