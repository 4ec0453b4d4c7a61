#include "model/avoidance_run.h"

#include <cstdio>
#include <cstdlib>
#include <initializer_list>
#include <string>
#include <vector>

namespace
{

using namespace guavafront;
using namespace std::chrono_literals;

struct scenario {
    const char *name; ///< For the table.
    bench::avoidance_options options; ///< What is replayed.
};

std::vector<scenario> scenarios()
{
    bench::avoidance_options noise;
    bench::avoidance_options spell;
    spell.spells = {{.from = 4s, .to = 7s, .share = 0.3, .fails = 0.9}};
    bench::avoidance_options burst = spell;
    burst.burst = 2.5;
    burst.burstFrom = 12s;
    burst.burstTo = 17s;
    bench::avoidance_options lost;
    lost.spells = {{.from = 1s, .to = 4s, .share = 1, .fails = 0.06}};
    bench::avoidance_options half;
    half.spells = {{.from = 6s, .to = 16s, .share = 0.45, .fails = 0.9}};
    return {{"standing noise", noise},
            {"0.3 gray from 4 to 7 s", spell},
            {"same, 2.5 times the load at 12 s", burst},
            {"0.06 of all lost from 1 to 4 s", lost},
            {"0.45 gray from 6 to 16 s", half}};
}

} // namespace

/// Prints how many sound instances are used while others are avoided, for seeds 1 to the first argument.
int main(int count, char **arguments)
{
    const int seeds = count > 1 ? std::atoi(arguments[1]) : 5;
    std::printf("%-34s %10s %14s %14s\n", "scenario", "unserved", "least used", "floor missed");
    for (scenario each : scenarios()) {
        std::uint64_t requests = 0;
        std::uint64_t unserved = 0;
        double least = 1;
        int missed = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            each.options.seed = static_cast<std::uint64_t>(seed);
            const bench::avoidance_result result = run(each.options);
            requests += result.requests;
            unserved += result.unserved;
            const double share = usedShare(leastUsed(result, 1s));
            least = std::min(least, share);
            missed += share < 0.7 ? 1 : 0;
        }
        std::printf("%-34s %9.2f%% %13.1f%% %8d of %d\n", each.name,
                    100 * static_cast<double>(unserved) / static_cast<double>(requests), 100 * least, missed, seeds);
    }
    return 0;
}
