#include <guavafront/coordination/upstreams/service_instance_counts.h>

namespace guavafront
{

service_instance_counts countInstances(const avoidance &avoidedInstances, const instance_notices &notices,
                                       std::span<const registered_instance> instances, instant now)
{
    service_instance_counts counted;
    for (const registered_instance &each : instances) {
        if (each.last.state != instance_state::Serving) {
            continue;
        }
        ++counted.serving;
        if (hasSaidLeaving(notices, each.last.instance)) {
            ++counted.leaving;
            continue;
        }
        if (isEvacuated(notices, each.last.dataCentre)) {
            ++counted.evacuated;
            continue;
        }
        if (now < pausedUntil(notices, each.last.instance)) {
            ++counted.paused;
            continue;
        }
        switch (avoidanceStatusOf(avoidedInstances, each.last.instance, now)) {
        case avoidance_status::Open:
            ++counted.open;
            break;
        case avoidance_status::Trial:
            ++counted.trial;
            break;
        case avoidance_status::Avoided:
            ++counted.avoided;
            break;
        }
    }
    return counted;
}

} // namespace guavafront
