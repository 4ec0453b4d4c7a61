#include <guavafront/coordination/registry/catch_up.h>

namespace guavafront
{

namespace
{

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014): spreads each input bit over the whole result, so that the sum
/// of several results rarely collides.
std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

/// Time between two queries at the given time.
duration intervalAt(const catch_up &state, instant at)
{
    const bool startingUp = !state.startedAt || at < *state.startedAt + state.startupPeriod;
    return startingUp ? state.startupInterval : state.interval;
}

} // namespace

std::uint64_t registryFingerprint(const registry &state)
{
    std::uint64_t sum = 0;
    for (const service_instances &service : state.services) {
        for (const registered_instance &each : service.instances) {
            sum += mixBits(each.last.instance.value + static_cast<std::uint64_t>(each.last.state));
        }
    }
    return sum;
}

std::vector<instance_record> instancesForCatchUp(const registry &state, std::uint64_t fingerprint)
{
    std::vector<instance_record> records;
    if (registryFingerprint(state) == fingerprint) {
        return records;
    }
    for (const service_instances &service : state.services) {
        for (const registered_instance &each : service.instances) {
            records.push_back({each.registrar, each.last});
        }
    }
    return records;
}

bool takeDueQuery(catch_up &state, instant now)
{
    state.startedAt = state.startedAt.value_or(now);
    if (now < nextQueryAt(state)) {
        return false;
    }
    state.lastQueryAt = now;
    return true;
}

instant nextQueryAt(const catch_up &state)
{
    return state.lastQueryAt == instant{} ? state.startedAt.value_or(instant{})
                                          : state.lastQueryAt + intervalAt(state, state.lastQueryAt);
}

} // namespace guavafront
