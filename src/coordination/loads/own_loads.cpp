#include <guavafront/coordination/loads/own_loads.h>

namespace guavafront
{

instant nextLoadReport(const own_loads &state)
{
    if (state.changed) {
        return state.reportedAt + state.period;
    }
    return state.told.empty() ? instant::max() : state.reportedAt + state.repeatAfter;
}

void collectLoads(own_loads &state, std::span<const candidate> members, instant now, std::vector<instance_load> &report)
{
    for (const candidate &member : members) {
        const auto known = state.told.find(member.instance);
        const bool isKnown = known != state.told.end();
        const std::uint32_t before = isKnown ? known->second.requests : 0;
        const bool old = isKnown && now - known->second.at >= state.repeatAfter;
        if (member.outstanding == before && !old) {
            continue;
        }
        report.push_back({.instance = member.instance, .requests = member.outstanding, .age = {}});
        if (member.outstanding == 0) {
            state.told.erase(member.instance);
        } else {
            state.told[member.instance] = {.requests = member.outstanding, .at = now};
        }
    }
}

} // namespace guavafront
