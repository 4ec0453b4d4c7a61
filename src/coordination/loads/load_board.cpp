#include <guavafront/coordination/loads/load_board.h>

namespace guavafront
{

namespace
{

/// Drops what VMs said that are silent since; their instances change by it.
void forgetOld(load_board &board, instant now)
{
    for (auto &[instance, tellers] : board.loads) {
        const auto isOld = [&board, now](const auto &told) {
            return told.second.at + board.memory < now;
        };
        if (std::erase_if(tellers, isOld) > 0) {
            board.changed.insert(instance);
        }
    }
}

} // namespace

void noteLoads(load_board &board, vm_id teller, std::span<const instance_load> loads, instant now)
{
    for (const instance_load &each : loads) {
        auto &tellers = board.loads[each.instance];
        load_board::told_load &told = tellers[teller];
        if (told.requests != each.requests) {
            board.changed.insert(each.instance);
        }
        told = {.requests = each.requests, .at = now};
        if (each.requests == 0) {
            tellers.erase(teller);
        }
    }
}

std::vector<instance_load> changedLoads(load_board &board, instant now)
{
    forgetOld(board, now);
    std::vector<instance_load> changed;
    for (const instance_id instance : board.changed) {
        std::uint32_t requests = 0;
        for (const auto &[teller, told] : board.loads[instance]) {
            requests += told.requests;
        }
        changed.push_back({.instance = instance, .requests = requests, .age = {}});
    }
    board.changed.clear();
    std::erase_if(board.loads, [](const auto &each) { return each.second.empty(); });
    return changed;
}

} // namespace guavafront
