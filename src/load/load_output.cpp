#include "load/load_output.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdarg>
#include <cstdio>

namespace guavafront
{

namespace
{

using nlohmann::ordered_json;

constexpr double medianQuantile = 0.5;
constexpr double p99Quantile = 0.99;
constexpr double p999Quantile = 0.999;
constexpr double microsecondsPerMillisecond = 1e3;
constexpr double microsecondsPerSecond = 1e6;

double milliseconds(duration time)
{
    return static_cast<double>(time.count()) / microsecondsPerMillisecond;
}

double seconds(duration time)
{
    return static_cast<double>(time.count()) / microsecondsPerSecond;
}

/// Formats one line as printf() does; text beyond 511 characters is cut off.
[[gnu::format(printf, 1, 2)]] std::string formatLine(const char *format, ...)
{
    std::array<char, 512> text{};
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text.data(), text.size(), format, arguments);
    va_end(arguments);
    return text.data();
}

unsigned long long printable(std::uint64_t count)
{
    return count;
}

ordered_json toJson(const std::map<result_code, std::uint64_t> &counts)
{
    ordered_json object = ordered_json::object();
    for (const auto &[code, count] : counts) {
        object[std::string(describe(code).name)] = count;
    }
    return object;
}

ordered_json toJson(const std::map<load_failure, std::uint64_t> &counts)
{
    ordered_json object = ordered_json::object();
    for (const auto &[failure, count] : counts) {
        object[std::string(loadFailureName(failure))] = count;
    }
    return object;
}

ordered_json toJson(const latency_histogram &latencies)
{
    return {{"count", latencies.count()},
            {"p50_us", latencies.quantile(medianQuantile).count()},
            {"p99_us", latencies.quantile(p99Quantile).count()},
            {"p999_us", latencies.quantile(p999Quantile).count()}};
}

ordered_json toJson(const account_tally &tally)
{
    return {{"arrivals", tally.arrivals},
            {"within_rate", tally.withinRate},
            {"answered", tally.answered},
            {"refused", toJson(tally.refused)},
            {"refused_within_rate", toJson(tally.refusedWithinRate)},
            {"shortfall", shortfallOf(tally)},
            {"failed", toJson(tally.failed)},
            {"served_share", servedShare(tally)},
            {"latency", toJson(tally.latencies)}};
}

std::string tallyLine(const std::string &name, const account_tally &tally)
{
    return formatLine("%-20s %9llu %9llu %9llu %9llu %9llu %9llu %7.4f %9.3f %9.3f\n", name.c_str(),
                      printable(tally.arrivals), printable(tally.answered), printable(sumOfCounts(tally.refused)),
                      printable(sumOfCounts(tally.refusedWithinRate)), printable(shortfallOf(tally)),
                      printable(sumOfCounts(tally.failed)), servedShare(tally),
                      milliseconds(tally.latencies.quantile(medianQuantile)),
                      milliseconds(tally.latencies.quantile(p99Quantile)));
}

/// Formats the refusals and failures of a tally, one line for each reason.
std::string reasonLines(const account_tally &total)
{
    std::string text;
    for (const auto &[code, count] : total.refused) {
        const auto wrongful = total.refusedWithinRate.find(code);
        text += formatLine("refused %u %s: %llu, of these within the rate: %llu\n", static_cast<unsigned>(code),
                           std::string(describe(code).name).c_str(), printable(count),
                           printable(wrongful == total.refusedWithinRate.end() ? 0 : wrongful->second));
    }
    for (const auto &[failure, count] : total.failed) {
        text += formatLine("failed %s: %llu\n", std::string(loadFailureName(failure)).c_str(), printable(count));
    }
    return text;
}

/// Latency that the entry VMs add: the quantile through them minus the same quantile of requests sent directly to the
/// upstreams.
duration addedTime(const account_tally &through, const account_tally &direct, double share)
{
    return through.latencies.quantile(share) - direct.latencies.quantile(share);
}

} // namespace

std::string loadText(const load_options &options, const load_result &result)
{
    const load_plan &plan = options.plan;
    const account_tally through = combinedTally(plan, result, load_path::ThroughEntry);
    std::string text = formatLine("%-20s %9s %9s %9s %9s %9s %9s %7s %9s %9s\n", "account", "arrivals", "answered",
                                  "refused", "wrongful", "shortfall", "failed", "share", "p50 ms", "p99 ms");
    for (std::size_t index = 0; index < plan.accounts.size(); ++index) {
        text += tallyLine(plan.accounts[index].name, result.accounts[index]);
    }
    text += tallyLine("all through entries", through);
    text += reasonLines(through);
    const fairness fair = fairnessOf(plan, result);
    text += formatLine("worst-served account: %s, share %.4f; Jain's index %.4f\n",
                       plan.accounts[fair.worstAccount].name.c_str(), fair.worstShare, fair.jainIndex);
    if (!options.directServers.empty()) {
        const account_tally direct = combinedTally(plan, result, load_path::Direct);
        text += formatLine("time added: p50 %.3f ms, p99 %.3f ms\n",
                           milliseconds(addedTime(through, direct, medianQuantile)),
                           milliseconds(addedTime(through, direct, p99Quantile)));
    }
    text += formatLine("sent late by the load itself: p99 %.3f ms\n",
                       milliseconds(result.sendLateness.quantile(p99Quantile)));
    text += formatLine("%.1f s, %.1f answers a second through entries, seed %llu%s\n", seconds(result.length),
                       static_cast<double>(through.answered) / seconds(result.length), printable(plan.seed),
                       result.interrupted ? ", interrupted" : "");
    return text;
}

std::string loadJson(const load_options &options, const load_result &result)
{
    const load_plan &plan = options.plan;
    const account_tally through = combinedTally(plan, result, load_path::ThroughEntry);
    const fairness fair = fairnessOf(plan, result);
    ordered_json document{{"seed", plan.seed},
                          {"interrupted", result.interrupted},
                          {"length_us", result.length.count()},
                          {"through_entries", toJson(through)},
                          {"worst_account", plan.accounts[fair.worstAccount].name},
                          {"worst_share", fair.worstShare},
                          {"jain_index", fair.jainIndex},
                          {"send_lateness", toJson(result.sendLateness)}};
    if (!options.directServers.empty()) {
        const account_tally direct = combinedTally(plan, result, load_path::Direct);
        document["direct"] = toJson(direct);
        document["added_p50_us"] = addedTime(through, direct, medianQuantile).count();
        document["added_p99_us"] = addedTime(through, direct, p99Quantile).count();
    }
    for (std::size_t index = 0; index < plan.accounts.size(); ++index) {
        if (plan.accounts[index].path == load_path::ThroughEntry) {
            document["accounts"][plan.accounts[index].name] = toJson(result.accounts[index]);
        }
    }
    return document.dump(2) + "\n";
}

std::string progressLine(const load_plan &plan, duration elapsed, const load_result &result)
{
    const account_tally through = combinedTally(plan, result, load_path::ThroughEntry);
    return formatLine(
        "%.0f s of %.0f s: ended %llu, answered %llu, refused %llu, failed %llu, waiting %zu, p99 %.3f ms",
        seconds(elapsed), seconds(plan.length), printable(through.arrivals), printable(through.answered),
        printable(sumOfCounts(through.refused)), printable(sumOfCounts(through.failed)), result.unfinished,
        milliseconds(through.latencies.quantile(p99Quantile)));
}

} // namespace guavafront
