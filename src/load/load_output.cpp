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

constexpr double medianShare = 0.5;
constexpr double tailShare = 0.99;
constexpr double farTailShare = 0.999;
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

/// One line from a printf() format.
[[gnu::format(printf, 1, 2)]] std::string line(const char *format, ...)
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
            {"p50_us", latencies.quantile(medianShare).count()},
            {"p99_us", latencies.quantile(tailShare).count()},
            {"p999_us", latencies.quantile(farTailShare).count()}};
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
    return line("%-20s %9llu %9llu %9llu %9llu %9llu %9llu %7.4f %9.3f %9.3f\n", name.c_str(),
                printable(tally.arrivals), printable(tally.answered), printable(totalOf(tally.refused)),
                printable(totalOf(tally.refusedWithinRate)), printable(shortfallOf(tally)),
                printable(totalOf(tally.failed)), servedShare(tally),
                milliseconds(tally.latencies.quantile(medianShare)), milliseconds(tally.latencies.quantile(tailShare)));
}

/// Refusals and failures of all accounts by reason.
std::string reasonLines(const account_tally &total)
{
    std::string text;
    for (const auto &[code, count] : total.refused) {
        const auto wrongful = total.refusedWithinRate.find(code);
        text += line("refused %u %s: %llu, of these within the rate: %llu\n", static_cast<unsigned>(code),
                     std::string(describe(code).name).c_str(), printable(count),
                     printable(wrongful == total.refusedWithinRate.end() ? 0 : wrongful->second));
    }
    for (const auto &[failure, count] : total.failed) {
        text += line("failed %s: %llu\n", std::string(loadFailureName(failure)).c_str(), printable(count));
    }
    return text;
}

/// Time that the entry VMs add: quantile through them less the same quantile straight to the upstreams.
duration addedTime(const account_tally &through, const account_tally &direct, double share)
{
    return through.latencies.quantile(share) - direct.latencies.quantile(share);
}

} // namespace

std::string loadText(const load_options &options, const load_result &result)
{
    const load_plan &plan = options.plan;
    const account_tally through = totalOf(plan, result, load_path::ThroughEntry);
    std::string text = line("%-20s %9s %9s %9s %9s %9s %9s %7s %9s %9s\n", "account", "arrivals", "answered", "refused",
                            "wrongful", "shortfall", "failed", "share", "p50 ms", "p99 ms");
    for (std::size_t index = 0; index < plan.accounts.size(); ++index) {
        text += tallyLine(plan.accounts[index].name, result.accounts[index]);
    }
    text += tallyLine("all through entries", through);
    text += reasonLines(through);
    const fairness fair = fairnessOf(plan, result);
    text += line("worst-served account: %s, share %.4f; Jain's index %.4f\n",
                 plan.accounts[fair.worstAccount].name.c_str(), fair.worstShare, fair.jainIndex);
    if (!options.direct.empty()) {
        const account_tally direct = totalOf(plan, result, load_path::Direct);
        text += line("time added: p50 %.3f ms, p99 %.3f ms\n", milliseconds(addedTime(through, direct, medianShare)),
                     milliseconds(addedTime(through, direct, tailShare)));
    }
    text += line("sent late by the load itself: p99 %.3f ms\n", milliseconds(result.lateness.quantile(tailShare)));
    text += line("%.1f s, %.1f answers a second through entries, seed %llu%s\n", seconds(result.length),
                 static_cast<double>(through.answered) / seconds(result.length), printable(plan.seed),
                 result.interrupted ? ", interrupted" : "");
    return text;
}

std::string loadJson(const load_options &options, const load_result &result)
{
    const load_plan &plan = options.plan;
    const account_tally through = totalOf(plan, result, load_path::ThroughEntry);
    const fairness fair = fairnessOf(plan, result);
    ordered_json document{{"seed", plan.seed},
                          {"interrupted", result.interrupted},
                          {"length_us", result.length.count()},
                          {"through_entries", toJson(through)},
                          {"worst_account", plan.accounts[fair.worstAccount].name},
                          {"worst_share", fair.worstShare},
                          {"jain_index", fair.jainIndex},
                          {"send_lateness", toJson(result.lateness)}};
    if (!options.direct.empty()) {
        const account_tally direct = totalOf(plan, result, load_path::Direct);
        document["direct"] = toJson(direct);
        document["added_p50_us"] = addedTime(through, direct, medianShare).count();
        document["added_p99_us"] = addedTime(through, direct, tailShare).count();
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
    const account_tally through = totalOf(plan, result, load_path::ThroughEntry);
    return line("%.0f s of %.0f s: ended %llu, answered %llu, refused %llu, failed %llu, waiting %zu, p99 %.3f ms",
                seconds(elapsed), seconds(plan.length), printable(through.arrivals), printable(through.answered),
                printable(totalOf(through.refused)), printable(totalOf(through.failed)), result.waiting,
                milliseconds(through.latencies.quantile(tailShare)));
}

} // namespace guavafront
