#include "model/upstream_model.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace
{

using namespace guavafront;
using namespace guavafront::bench;

/// Size of one service of a deployment.
struct deployment {
    std::string_view name; ///< Name of the service.
    std::uint32_t instances; ///< Number of instances.
    std::uint16_t slots; ///< Slots of each instance.
    duration roundTrip; ///< Network round trip between data centres.
};

/// A combination of failure detector and balancing policy.
struct method {
    std::string_view name; ///< Name in the tables.
    detection_kind detection; ///< Failure detector.
    balancing_policy policy; ///< How instances are chosen.
};

constexpr std::array deployments{
    deployment{"rutas", 10, 4, std::chrono::milliseconds(4)},
    deployment{"flaggstjorn", 6, 6, std::chrono::milliseconds(5)},
};

constexpr std::array<std::pair<fault_kind, std::string_view>, 12> faults{{
    {fault_kind::None, "none"},
    {fault_kind::Slow, "slow"},
    {fault_kind::IncompleteAnswers, "cut answers"},
    {fault_kind::UnreachableFromDataCentre, "dead to one DC"},
    {fault_kind::OneBadLink, "one bad link"},
    {fault_kind::Flapping, "flapping"},
    {fault_kind::SilentConnections, "silent conns"},
    {fault_kind::WrongLoad, "wrong load"},
    {fault_kind::ColdStart, "cold start"},
    {fault_kind::CrashRequest, "crash request"},
    {fault_kind::TwoSlow, "two slow"},
    {fault_kind::AllErrors, "all 30% errors"},
}};

constexpr std::array methods{
    method{"errors+two choices", detection_kind::ConsecutiveErrors, balancing_policy::TwoChoices},
    method{"evidence+two choices", detection_kind::Evidence, balancing_policy::TwoChoices},
    method{"evidence+latency", detection_kind::Evidence, balancing_policy::ExpectedLatency},
};

constexpr std::array policies{
    method{"random", detection_kind::Evidence, balancing_policy::Random},
    method{"round robin", detection_kind::Evidence, balancing_policy::RoundRobin},
    method{"two choices", detection_kind::Evidence, balancing_policy::TwoChoices},
    method{"expected latency", detection_kind::Evidence, balancing_policy::ExpectedLatency},
};

/// Prints the names of the columns. capacity is lowestCapacity, union is lowestInRotationEverywhere and nowhere is
/// lowestUnavoidedEverywhere of the result.
void printHeader()
{
    std::printf("%-11s %-14s %-21s %8s %6s %9s %8s %8s %8s %7s %8s %7s\n", "service", "fault", "method", "detect s",
                "false", "failed %", "p50 ms", "p99 ms", "capacity", "union", "nowhere", "deaths");
}

void printRow(std::string_view service, std::string_view fault, std::string_view method, const model_result &result)
{
    const double failedPercent =
        result.requests == 0 ? 0 : 100.0 * static_cast<double>(result.failed) / static_cast<double>(result.requests);
    std::printf("%-11s %-14s %-21s %8.2f %6llu %9.3f %8.1f %8.1f %8.2f %7.2f %8.2f %7llu\n", service.data(),
                fault.data(), method.data(), result.detectionSeconds,
                static_cast<unsigned long long>(result.falseEjections), failedPercent, result.p50Ms, result.p99Ms,
                result.lowestCapacity, result.lowestInRotationEverywhere, result.lowestUnavoidedEverywhere,
                static_cast<unsigned long long>(result.deaths));
}

model_options optionsFor(const deployment &service, std::uint64_t seed)
{
    return {.instances = service.instances, .slots = service.slots, .roundTrip = service.roundTrip, .seed = seed};
}

void compareDetection(std::uint64_t seed)
{
    std::printf("Detection, 45 VMs, half of the slots busy, seed %llu\n", static_cast<unsigned long long>(seed));
    printHeader();
    for (const deployment &service : deployments) {
        for (const auto &[kind, name] : faults) {
            for (const method &each : methods) {
                model_options options = optionsFor(service, seed);
                options.fault = kind;
                options.detection = each.detection;
                options.policy = each.policy;
                printRow(service.name, name, each.name, run(options));
            }
        }
    }
}

void compareBalancing(std::uint64_t seed)
{
    std::printf("\nBalancing, no fault, share of busy slots as the fault's name, seed %llu\n",
                static_cast<unsigned long long>(seed));
    printHeader();
    for (const deployment &service : deployments) {
        for (const auto &[utilization, name] : {std::pair{0.3, "30 %"}, {0.6, "60 %"}, {0.8, "80 %"}}) {
            for (const method &each : policies) {
                model_options options = optionsFor(service, seed);
                options.utilization = utilization;
                options.policy = each.policy;
                printRow(service.name, name, each.name, run(options));
            }
        }
    }
}

void compareSilentConnections(std::uint64_t seed)
{
    std::printf("\nSilent connections, with and without leaving them early, seed %llu\n",
                static_cast<unsigned long long>(seed));
    printHeader();
    for (const deployment &service : deployments) {
        for (const bool replace : {false, true}) {
            model_options options = optionsFor(service, seed);
            options.fault = fault_kind::SilentConnections;
            options.leaveSilentEarly = replace;
            printRow(service.name, "silent conns", replace ? "leave early" : "wait", run(options));
        }
    }
}

} // namespace

/// Prints the tables of docs/design/upstreams.md; the argument is the seed, 1 by default.
int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    compareDetection(seed);
    compareBalancing(seed);
    compareSilentConnections(seed);
    return 0;
}
