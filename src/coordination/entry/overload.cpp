#include "coordination/entry/entry_queue_step.h"

namespace guavafront
{

namespace
{

constexpr duration retryAfterOverload = std::chrono::seconds(1);

bool hasRoom(const entry &state, std::uint32_t bodyBytes)
{
    const entry_bounds &bounds = state.settings.bounds;
    return state.exchanges.size() < bounds.requests && state.bodyBytes + bodyBytes <= bounds.bodyBytes;
}

} // namespace

bool makeRoom(step_context &context, std::uint32_t bodyBytes)
{
    entry &state = context.state;
    while (!hasRoom(state, bodyBytes) && !state.tokenWaits.expirations.empty()) {
        // Requests that wait for a token are probably over their rate, and no work has been done for them yet.
        exchange &cheapest = state.exchanges.at(state.tokenWaits.expirations.begin()->second);
        refuse(context, cheapest, result_code::EntryOverloaded, execution::NotRun, retryAfterOverload);
    }
    return hasRoom(state, bodyBytes);
}

} // namespace guavafront
