#include "model/urgency_run.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <vector>

namespace
{

using namespace guavafront;
using namespace std::chrono_literals;

/// A load or fault with its name and the interval that is counted.
struct scenario {
    const char *name; ///< Name in the table.
    bench::urgency_options options; ///< Options of the runs.
    duration from = 6s; ///< Start of what is counted.
    duration to = 13s; ///< End of what is counted.
};

/// Three kinds whose work is 0.65 of the slots of the instances.
bench::urgency_options usual(std::uint32_t vms, std::uint32_t instances)
{
    bench::urgency_options options;
    options.vms = vms;
    options.instances = instances;
    const double unit = static_cast<double>(instances) * options.slots / 0.3;
    options.kinds = {{.name = "urgent", .requestsPerSecond = 0.25 * unit},
                     {.name = "usual", .accountPriority = 1, .requestsPerSecond = 0.2 * unit},
                     {.name = "patient", .accountPriority = 2, .requestsPerSecond = 0.2 * unit}};
    return options;
}

std::vector<scenario> scenariosOf(std::uint32_t vms, std::uint32_t instances)
{
    std::vector<scenario> scenarios;
    const bench::urgency_options calm = usual(vms, instances);
    scenarios.push_back({"calm", calm});
    scenarios.push_back({"patient x 4", calm});
    scenarios.back().options.surges = {{.kind = "patient", .factor = 4, .from = 6s, .to = 13s}};
    scenarios.push_back({"same, at half of the VMs", scenarios.back().options});
    scenarios.back().options.vmsWithLoad = 0.5;
    scenarios.push_back({"all x 2", calm});
    for (const bench::request_kind &each : calm.kinds) {
        scenarios.back().options.surges.push_back({.kind = each.name, .factor = 2, .from = 6s, .to = 13s});
    }
    scenarios.push_back({"usual x 6, patient x 8", calm});
    scenarios.back().options.surges = {{.kind = "usual", .factor = 6, .from = 6s, .to = 13s},
                                       {.kind = "patient", .factor = 8, .from = 6s, .to = 13s}};
    scenarios.push_back({"same, callers resend at once", scenarios.back().options});
    for (bench::request_kind &each : scenarios.back().options.kinds) {
        each.resends = 5;
        each.ignoresRetryAfter = true;
    }
    scenarios.push_back({"half of the instances leave", calm});
    scenarios.back().options.left = {.share = 0.5, .from = 6s, .to = 13s};
    scenarios.push_back({"half of the requests refused", calm});
    scenarios.back().options.refusing = {.share = 0.5, .from = 6s, .to = 13s};
    scenarios.push_back({"patient x 4, hub silent", scenarios[1].options});
    scenarios.back().options.silentHub = {.share = 1, .from = 8s, .to = 20s};
    scenarios.push_back({"patient x 4, VMs restart", scenarios[1].options});
    scenarios.back().options.restarted = {.share = 0.25, .from = 8s, .to = 8s};
    return scenarios;
}

void print(const scenario &each, bool urgencyOrder, std::uint64_t seed, bool bySecond)
{
    bench::urgency_options options = each.options;
    options.urgencyOrder = urgencyOrder;
    options.seed = seed;
    const bench::urgency_result result = run(options, each.from, each.to);
    std::printf("%-30s %-4s", each.name, urgencyOrder ? "new" : "old");
    for (const bench::kind_result &kind : result.kinds) {
        std::printf(" %5.3f %5.3f %5.3f |", servedShare(kind), inTargetShare(kind),
                    static_cast<double>(kind.lateRefusals) / static_cast<double>(kind.requests));
    }
    double load = 0;
    double deviation = 0;
    double refused = 0;
    double attempts = 0;
    for (std::size_t second = 8; second < 13; ++second) {
        load += result.seconds[second].instanceLoad / 5;
        deviation += result.seconds[second].instanceLoadDeviation / 5;
        refused += static_cast<double>(result.seconds[second].instanceRefusals);
        attempts += static_cast<double>(result.seconds[second].attempts);
    }
    const bench::kind_result &after = result.seconds[15].all;
    std::printf(" %5.2f %5.2f %6.3f %6.3f %6.0f %5llu %6.0f\n", load, deviation, refused / attempts,
                inTargetShare(after), result.predictionErrorMs, static_cast<unsigned long long>(result.lateRetries),
                result.sumBytesPerSecond);
    for (std::size_t second = 0; bySecond && second < result.seconds.size(); ++second) {
        const bench::second_result &at = result.seconds[second];
        std::printf("  %2zu: %5llu served %5.3f in target %5.3f load %5.2f +- %4.2f refused %5llu of %5llu\n", second,
                    static_cast<unsigned long long>(at.all.requests), servedShare(at.all), inTargetShare(at.all),
                    at.instanceLoad, at.instanceLoadDeviation, static_cast<unsigned long long>(at.instanceRefusals),
                    static_cast<unsigned long long>(at.attempts));
    }
}

} // namespace

/// Usage: urgency_bench [VMS [INSTANCES [SEED [SCENARIO]]]]. Prints what callers of each kind get with and without the
/// order by urgency: the shares served, in target and refused late; then the load of the instances between 8 and 13 s,
/// its deviation, the share of attempts refused there, the share in target of what arrives 2 s after the end, the error
/// of the prediction in ms, late Retry-Afters and bytes a VM. With a scenario's number also each second.
int main(int count, char **arguments)
{
    const auto number = [count, arguments](int index, unsigned long fallback) {
        return count > index ? std::strtoul(arguments[index], nullptr, 10) : fallback;
    };
    const auto vms = static_cast<std::uint32_t>(number(1, 47));
    const auto instances = static_cast<std::uint32_t>(number(2, 24));
    const std::uint64_t seed = number(3, 1);
    const std::vector<scenario> scenarios = scenariosOf(vms, instances);
    const std::size_t only = number(4, scenarios.size());
    for (std::size_t index = 0; index < scenarios.size(); ++index) {
        if (only == scenarios.size() || only == index) {
            print(scenarios[index], false, seed, only == index);
            print(scenarios[index], true, seed, only == index);
        }
    }
    return 0;
}
