#include <guavafront/coordination/registry/catch_up.h>

namespace guavafront
{

namespace
{

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

duration pauseAt(const catch_up &state, instant at)
{
    const bool joining = !state.startedAt || at < *state.startedAt + state.joinTime;
    return joining ? state.joinPeriod : state.period;
}

} // namespace

std::uint64_t fingerprintOf(const registry &state)
{
    std::uint64_t sum = 0;
    for (const service_instances &service : state.services) {
        for (const registered_instance &each : service.instances) {
            sum += mixed(each.last.instance.value + static_cast<std::uint64_t>(each.last.state));
        }
    }
    return sum;
}

std::vector<told_instance> instancesToTell(const registry &state, std::uint64_t fingerprint)
{
    std::vector<told_instance> told;
    if (fingerprintOf(state) == fingerprint) {
        return told;
    }
    for (const service_instances &service : state.services) {
        for (const registered_instance &each : service.instances) {
            told.push_back({each.hearer, each.last});
        }
    }
    return told;
}

bool takeQuestion(catch_up &state, instant now)
{
    state.startedAt = state.startedAt.value_or(now);
    if (now < nextQuestion(state)) {
        return false;
    }
    state.askedAt = now;
    return true;
}

instant nextQuestion(const catch_up &state)
{
    return state.askedAt == instant{} ? state.startedAt.value_or(instant{})
                                      : state.askedAt + pauseAt(state, state.askedAt);
}

} // namespace guavafront
