#include <guavafront/coordination/loads/load_board.h>

namespace guavafront
{

void noteLoads(load_board &board, std::span<const instance_load> loads, instant now)
{
    for (const instance_load &each : loads) {
        const instant at = now - each.age;
        load_board::known_load &known = board.loads[each.instance];
        if (at > known.at) {
            known = {.requests = each.requests, .at = at, .changedAt = now};
        }
    }
}

std::vector<instance_load> loadsSince(load_board &board, instant since, instant now)
{
    std::erase_if(board.loads, [&board, now](const auto &each) { return each.second.at + board.memory < now; });
    std::vector<instance_load> recent;
    for (const auto &[instance, known] : board.loads) {
        if (known.changedAt > since) {
            recent.push_back({instance, known.requests, now - known.at});
        }
    }
    return recent;
}

} // namespace guavafront
