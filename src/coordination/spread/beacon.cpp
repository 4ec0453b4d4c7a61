#include <guavafront/coordination/spread/beacon.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

namespace
{

/// Sort key of beacons, in the order in which leaders issued them.
std::pair<std::uint64_t, std::uint64_t> issueOrder(const beacon &value)
{
    return {value.leaderTerm.value, value.counter};
}

/// Age of a beacon from which a control VM is asked for a newer one. The relay seldom takes that long.
constexpr duration renewalAge = std::chrono::milliseconds(2'000);
/// Time between two such questions, since the VM that was asked may have no newer one, or be away.
constexpr duration renewalInterval = std::chrono::milliseconds(400);

} // namespace

bool receiveBeacon(beacon_state &state, const beacon &received, instant askedAt)
{
    const instant issuedAfter = askedAt - received.age;
    if (!state.newest || issueOrder(received) > issueOrder(*state.newest)) {
        // A later beacon can't have been issued before an earlier one, even if its own bound is looser.
        state.issuedAfter = state.newest ? std::max(state.issuedAfter, issuedAfter) : issuedAfter;
        state.newest = received;
        return true;
    }
    if (issueOrder(received) == issueOrder(*state.newest) && issuedAfter > state.issuedAfter) {
        state.issuedAfter = issuedAfter;
        return true;
    }
    return false;
}

void issueBeacon(beacon_state &state, term leaderTerm, std::uint64_t counter, revision accepted, instant asOf)
{
    receiveBeacon(state, {.leaderTerm = leaderTerm, .counter = counter, .accepted = accepted}, asOf);
}

std::optional<beacon> relayedBeacon(const beacon_state &state, instant now)
{
    if (!state.newest) {
        return std::nullopt;
    }
    beacon result = *state.newest;
    result.age = std::max(duration{}, now - state.issuedAfter);
    return result;
}

std::optional<duration> beaconAge(const beacon_state &state, instant now)
{
    if (!state.newest) {
        return std::nullopt;
    }
    return std::max(duration{}, now - state.issuedAfter);
}

bool takeRenewal(beacon_state &state, instant now)
{
    const std::optional<duration> age = beaconAge(state, now);
    if ((age && *age < renewalAge) || now < state.renewalDue) {
        return false;
    }
    state.renewalDue = now + renewalInterval;
    return true;
}

} // namespace guavafront
