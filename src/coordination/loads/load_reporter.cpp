#include <guavafront/coordination/loads/load_reporter.h>

namespace guavafront
{

instant nextLoadReport(const load_reporter &state)
{
    if (state.changed) {
        return state.lastReportAt + state.reportInterval;
    }
    return state.lastReported.empty() ? instant::max() : state.lastReportAt + state.repeatInterval;
}

void collectDueLoads(load_reporter &state, std::span<const candidate> members, instant now,
                     std::vector<instance_load> &report, bool withWork)
{
    for (const candidate &member : members) {
        const auto known = state.lastReported.find(member.instance);
        const bool isKnown = known != state.lastReported.end();
        const std::uint32_t before = isKnown ? known->second.requests : 0;
        const bool old = isKnown && now - known->second.reportedAt >= state.repeatInterval;
        if (member.outstanding == before && !old) {
            continue;
        }
        const duration work(withWork ? static_cast<std::int64_t>(member.outstandingWorkUs) : 0);
        report.push_back({.instance = member.instance, .requests = member.outstanding, .age = {}, .work = work});
        if (member.outstanding == 0) {
            state.lastReported.erase(member.instance);
        } else {
            state.lastReported[member.instance] = {.requests = member.outstanding, .reportedAt = now};
        }
    }
}

} // namespace guavafront
