#include <guavafront/coordination/registry/departure_record.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace guavafront
{

namespace
{

instance_process processOf(const announcement &announced)
{
    if (announced.name.empty() || announced.processStartMs == 0) {
        return {.instance = announced.instance};
    }
    return {.name = announced.name, .startMs = announced.processStartMs};
}

void record(departure_record &state, const instance_process &process, const recorded_departure &told)
{
    if (state.byProcess.size() >= state.limit && !state.byProcess.contains(process)) {
        state.byProcess.erase(
            std::ranges::min_element(state.byProcess, {}, [](const auto &each) { return each.second.expires; }));
    }
    recorded_departure &known = state.byProcess.try_emplace(process, told).first->second;
    if (told.sequence >= known.sequence) {
        known.state = told.sequence > known.sequence ? told.state : std::max(known.state, told.state);
        known.sequence = told.sequence;
    }
    known.toPublish = known.toPublish || told.toPublish;
    known.expires = told.expires;
}

} // namespace

void recordDeparture(departure_record &state, const departure &told, bool toPublish, instant now)
{
    const bool isFinal = told.state == instance_state::Leaving;
    record(state, {.name = told.name, .startMs = told.processStartMs},
           {.sequence = isFinal ? std::numeric_limits<std::uint64_t>::max() : told.sequence,
            .state = told.state,
            .toPublish = toPublish,
            .expires = now + state.retention});
}

announcement applyDepartures(departure_record &state, const announcement &received, instant now)
{
    const instance_process process = processOf(received);
    if (received.state >= instance_state::Draining) {
        record(state, process,
               {.sequence = received.sequence, .state = received.state, .expires = now + state.retention});
    }
    announcement result = received;
    const auto departed = state.byProcess.find(process);
    if (departed == state.byProcess.end() || departed->second.expires <= now) {
        return result;
    }
    if (received.sequence <= departed->second.sequence) {
        result.state = departed->second.state;
        result.sequence = departed->second.sequence;
    }
    return result;
}

bool takeUnpublished(departure_record &state, const announcement &received)
{
    const auto departed = state.byProcess.find(processOf(received));
    return departed != state.byProcess.end() && std::exchange(departed->second.toPublish, false);
}

void sweepDepartures(departure_record &state, instant now)
{
    if (now < state.nextSweep) {
        return;
    }
    state.nextSweep = now + state.sweepPeriod;
    std::erase_if(state.byProcess, [now](const auto &each) { return each.second.expires <= now; });
}

} // namespace guavafront
