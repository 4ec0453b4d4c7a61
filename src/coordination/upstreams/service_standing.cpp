#include <guavafront/coordination/upstreams/service_standing.h>

namespace guavafront
{

service_standing countStandings(const avoidance &troubles, std::span<const registered_instance> instances, instant now)
{
    service_standing counted;
    for (const registered_instance &each : instances) {
        if (each.last.state != instance_state::Serving) {
            continue;
        }
        ++counted.serving;
        switch (standingOf(troubles, each.last.instance, now)) {
        case avoidance_standing::Open:
            ++counted.open;
            break;
        case avoidance_standing::Trial:
            ++counted.trial;
            break;
        case avoidance_standing::Avoided:
            ++counted.avoided;
            break;
        }
    }
    return counted;
}

} // namespace guavafront
