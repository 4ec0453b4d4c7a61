#include "model/placement_run.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace
{

using guavafront::bench::placement_options;

/// A pattern of load with its name.
struct load_pattern {
    std::string_view name; ///< Name in the table.
    placement_options options; ///< The pattern.
};

/// Largest services of the deployments at the load of their busiest days, some with a part of the instances missing.
std::vector<load_pattern> patterns()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const placement_options reservas{.requestsPerSecond = 105};
    placement_options graySixth = reservas;
    graySixth.instances = {5, 5, 5};
    placement_options grayThird = reservas;
    grayThird.instances = {4, 5, 4};
    placement_options burst = reservas;
    burst.burstFactor = 1.7;
    burst.burstFrom = seconds(10);
    burst.burstTo = seconds(13);
    placement_options isthykkt{
        .vms = {16, 16, 16}, .instances = {5, 5, 5}, .slots = 6, .queue = 24, .requestsPerSecond = 124};
    isthykkt.meanServiceTime = milliseconds(460);
    isthykkt.latencyTarget = milliseconds(2'000);
    isthykkt.oneWayDelay = std::chrono::microseconds(4'900);
    placement_options grown{.vms = {42, 42, 33}, .instances = {50, 50, 47}, .requestsPerSecond = 1'000};
    grown.meanServiceTime = milliseconds(380);
    grown.latencyTarget = milliseconds(1'500);
    placement_options twoKinds{.vms = {34, 34, 33}, .instances = {7, 7, 6}, .requestsPerSecond = 140};
    twoKinds.kinds = {{.share = 0.8, .meanServiceTime = milliseconds(180), .latencyTarget = milliseconds(500)},
                      {.share = 0.2, .meanServiceTime = milliseconds(1'000), .latencyTarget = milliseconds(6'000)}};
    placement_options twoKindsOld = twoKinds;
    twoKindsOld.byWork = false;
    placement_options twoKindsAlone = twoKinds;
    twoKindsAlone.sharesEstimates = false;
    return {{"reservas", reservas},
            {"reservas, a sixth out", graySixth},
            {"reservas, a third out", grayThird},
            {"reservas, burst of 3 s", burst},
            {"isthykkt, a third out", isthykkt},
            {"two kinds, typical latency", twoKindsOld},
            {"two kinds, by work", twoKinds},
            {"two kinds, own estimates", twoKindsAlone},
            {"reservas grown, a third out", grown}};
}

} // namespace

/// Usage: placement_bench [SEED]. Prints what callers see, by load pattern and by load source of the VMs.
int main(int count, char **arguments)
{
    using guavafront::bench::load_source;
    const std::uint64_t seed = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    std::printf("seed %llu\n%-28s %-10s %8s %8s %8s %8s %8s %8s\n", static_cast<unsigned long long>(seed), "load",
                "known", "in time", "late", "refused", "worst 2s", "p99 ms", "far");
    for (load_pattern &each : patterns()) {
        for (const load_source loadSource :
             {load_source::OwnOnly, load_source::InstanceReports, load_source::FleetSums}) {
            each.options.loadSource = loadSource;
            each.options.seed = seed;
            const auto result = guavafront::bench::run(each.options);
            const auto share = [&result](std::uint64_t part) {
                return 100.0 * static_cast<double>(part) / static_cast<double>(result.requests);
            };
            std::printf("%-28s %-10s %7.2f%% %7.2f%% %7.2f%% %7.1f%% %8.0f %7.1f%%\n", each.name.data(),
                        nameOf(loadSource).data(), share(result.inTime), share(result.late), share(result.refused),
                        100 * result.worstTwoSeconds, result.p99Ms, 100 * result.farShare);
        }
    }
    return 0;
}
