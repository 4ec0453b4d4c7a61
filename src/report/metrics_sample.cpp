#include "report/metrics_sample.h"

#include "report/exposition.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdlib>
#include <map>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr double millisecondsPerSecond = 1e3;

/// Cumulative counts of two buckets of one service's latency histogram.
struct latency_buckets {
    double total = 0; ///< Count of the bucket without an upper bound (+Inf), that is of all requests.
    double inTime = 0; ///< Count of the bucket with the highest bound that is not above the latency limit.
    double boundMs = 0; ///< Upper bound in milliseconds of the bucket counted in inTime.
};

using reading_table = std::map<burn_subject, burn_reading>;

void addResult(const metric_value &value, burn_subject_kind kind, std::string_view name, reading_table &table)
{
    const burn_event_class eventClass = classifyResult(value.label("result"));
    if (name.empty() || eventClass == burn_event_class::Excluded) {
        return;
    }
    const burn_subject subject{.kind = kind, .objective = burn_objective::Availability, .name = std::string(name)};
    burn_reading &reading = table[subject];
    reading.total += value.value;
    reading.bad += eventClass == burn_event_class::Bad ? value.value : 0;
}

void addBucket(const metric_value &value, double limitMs, latency_buckets &buckets)
{
    const double boundMs = std::strtod(std::string(value.label("le")).c_str(), nullptr) * millisecondsPerSecond;
    if (std::isinf(boundMs)) {
        buckets.total = value.value;
    } else if (boundMs <= limitMs && boundMs > buckets.boundMs) {
        buckets.inTime = value.value;
        buckets.boundMs = boundMs;
    }
}

/// Returns whether the value is an unsigned number of milliseconds since the Unix epoch, up to the year 9999.
bool isTime(const json &found)
{
    constexpr std::uint64_t latestMs = 253'402'300'800'000; // End of the year 9999.
    return found.is_number_unsigned() && found.get<std::uint64_t>() < latestMs;
}

metrics_sample parseSample(std::string_view line, std::size_t number)
{
    const json found = json::parse(line, nullptr, false);
    const bool valid = found.is_object() && isTime(found.value("at_ms", json())) && found.contains("source")
                       && found["source"].is_string() && found.contains("lines") && found["lines"].is_string();
    if (!valid) {
        throw coordination_error(result_code::MessageMalformed, "samples, line " + std::to_string(number));
    }
    return {.source = found["source"].get<std::string>(),
            .at = std::chrono::milliseconds(found["at_ms"].get<std::int64_t>()),
            .lines = found["lines"].get<std::string>()};
}

} // namespace

std::string toLine(const metrics_sample &sample)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(sample.at).count();
    const json line{{"at_ms", at}, {"source", sample.source}, {"lines", sample.lines}};
    return line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<metrics_sample> parseSamples(std::string_view text)
{
    std::vector<metrics_sample> samples;
    for (std::size_t end = text.find('\n'); end != std::string_view::npos; end = text.find('\n')) {
        samples.push_back(parseSample(text.substr(0, end), samples.size() + 1));
        text.remove_prefix(end + 1);
    }
    return samples;
}

burn_sample burnSampleOf(const metrics_sample &sample, const report_settings &settings)
{
    reading_table table;
    std::map<burn_subject, latency_buckets> latencies;
    for (const metric_value &value : parseExposition(sample.lines)) {
        const std::string_view service = value.label("service");
        if (value.name == "guavafront_requests_total") {
            addResult(value, burn_subject_kind::Service, service, table);
        } else if (value.name == "guavafront_account_requests_total") {
            addResult(value, burn_subject_kind::Account, value.label("account"), table);
        } else if (!service.empty()) {
            const burn_subject subject{
                .kind = burn_subject_kind::Service, .objective = burn_objective::Latency, .name = std::string(service)};
            addBucket(value, objectiveOf(settings, subject).latencyMs, latencies[subject]);
        }
    }
    for (const auto &[subject, buckets] : latencies) {
        table[subject] = {.subject = subject, .total = buckets.total, .bad = buckets.total - buckets.inTime};
    }
    burn_sample read{.source = sample.source, .at = sample.at, .readings = {}};
    for (auto &[subject, reading] : table) {
        reading.subject = subject;
        read.readings.push_back(reading);
    }
    return read;
}

} // namespace guavafront
