#include <guavafront/coordination/upstreams/recent_losses.h>

namespace guavafront
{

namespace
{

constexpr duration period = std::chrono::seconds(2);

/// The state with its periods moved up to now.
recent_losses movedTo(recent_losses state, instant now)
{
    if (now - state.since >= period) {
        const bool isNext = now - state.since < 2 * period;
        state.before = isNext ? state.present : request_ends{};
        state.present = {};
        state.since = isNext ? state.since + period : now;
    }
    return state;
}

} // namespace

void recordEnd(recent_losses &state, bool served, instant now)
{
    state = movedTo(state, now);
    ++state.present.all;
    state.present.unserved += served ? 0 : 1;
}

service_loss lossOf(const recent_losses &state, instant now)
{
    constexpr std::uint32_t fewestUnserved = 3; // Fewer may be chance at a VM that sees few requests.
    constexpr std::uint32_t notableDivisor = 10;
    constexpr std::uint32_t severeDivisor = 5;
    const recent_losses moved = movedTo(state, now);
    const std::uint32_t all = moved.present.all + moved.before.all;
    const std::uint32_t unserved = moved.present.unserved + moved.before.unserved;
    if (unserved < fewestUnserved || unserved * notableDivisor <= all) {
        return service_loss::Small;
    }
    return unserved * severeDivisor > all ? service_loss::Severe : service_loss::Notable;
}

} // namespace guavafront
