#include "model/placement_state.h"

#include <array>

namespace guavafront::bench
{

std::size_t drawKind(const std::vector<placement_kind> &kinds, std::mt19937_64 &random)
{
    if (kinds.size() == 1) {
        return 0;
    }
    double part = std::uniform_real_distribution<double>(0, 1)(random);
    std::size_t kind = 0;
    while (kind + 1 < kinds.size() && part >= kinds[kind].share) {
        part -= kinds[kind++].share;
    }
    return kind;
}

void countSlow(slow_counts &counts, const placement_options &options, std::size_t instance, duration since)
{
    const duration end = std::min(options.slowTo, options.length);
    const auto add = [&](std::pair<double, double> &share) {
        share.first += instance < options.slowInstances ? 1 : 0;
        share.second += 1;
    };
    if (since >= (options.slowFrom + end) / 2 && since < end) {
        add(counts.whileSlow);
    } else if (since >= end + std::chrono::seconds(10)) {
        add(counts.afterwards);
    }
}

std::string_view nameOf(load_source loadSource)
{
    constexpr std::array<std::string_view, 3> names{"own only", "reported", "sums"};
    return names[static_cast<std::size_t>(loadSource)];
}

} // namespace guavafront::bench
