#include "model/warmup_run.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace
{

using guavafront::bench::warmup_options;
using guavafront::bench::warmup_way;

/// A situation in which instances become cold, with its name.
struct situation {
    std::string_view name; ///< Name in the table.
    warmup_options options; ///< The situation.
};

std::vector<situation> situations()
{
    using std::chrono::milliseconds;
    return {{"a third cold", {}},
            {"a data centre cold", {.wholeDataCentre = true}},
            {"a data centre cold, busy", {.requestsPerSecond = 2'000, .wholeDataCentre = true}},
            {"half cold", {.coldShare = 0.5}},
            {"all cold", {.coldShare = 1}},
            {"notices up to 1.5 s late", {.longestNoticeDelay = milliseconds(1'500)}},
            {"8 VMs cut off", {.cutOff = 8}},
            {"a data centre's VMs cut off", {.cutOffDataCentre = true}},
            {"8 VMs restarted", {.restarted = 8}},
            {"41 VMs lost, not noticed", {.lost = 41}},
            {"hub lost", {.hubLost = true}},
            {"views lack a tenth", {.viewGaps = 0.1}}};
}

} // namespace

/// Usage: warmup_bench [RUNS]. Prints what cold instances get, by situation and way; the worst of the runs' seeds.
int main(int count, char **arguments)
{
    const std::uint64_t runs = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 3;
    std::printf("%-28s %-12s %10s %8s %10s %8s %8s\n", "situation", "way", "most in 1s", "per s", "longest s",
                "starved", "refused");
    for (situation &each : situations()) {
        for (const warmup_way way : {warmup_way::None, warmup_way::FixedShare, warmup_way::Hub, warmup_way::Senders}) {
            guavafront::bench::warmup_result worst;
            double perSecond = 0;
            for (std::uint64_t seed = 1; seed <= runs; ++seed) {
                each.options.way = way;
                each.options.seed = seed;
                const auto result = run(each.options);
                worst.mostInSecond = std::max(worst.mostInSecond, result.mostInSecond);
                worst.longestWait = std::max(worst.longestWait, result.longestWait);
                worst.starved += result.starved;
                worst.refused = std::max(worst.refused, result.refused);
                perSecond += result.perSecond / static_cast<double>(runs);
            }
            std::printf("%-28s %-12s %10u %8.2f %10.2f %8u %8.4f\n", each.name.data(), nameOf(way).data(),
                        worst.mostInSecond, perSecond, worst.longestWait, worst.starved, worst.refused);
        }
    }
    return 0;
}
