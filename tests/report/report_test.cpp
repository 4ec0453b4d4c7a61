#include "report/burn_report.h"
#include "report/exposition.h"

#include "daemon/metrics/daemon_counters.h"

#include <guavafront/coordination/core/coordination_error.h>
#include <guavafront/coordination/core/random.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Counters of a daemon, and samples of the metrics pages that prometheus-cpp writes from them.
struct report_fixture {
    daemon_counters counters;
    std::vector<metrics_sample> samples;
    report_settings settings;

    /// Counts requests of an account to the service "cobros", each with the given result and latency in seconds. The
    /// default latency is within the bucket bound of 20 ms.
    void serve(int count, result_code code, const std::string &account = "panalera", double seconds = 0.015)
    {
        for (int each = 0; each < count; ++each) {
            counters.countRequest("cobros", account, code, 200);
            counters.observeLatency("cobros", seconds);
        }
    }

    void sampleAt(duration at)
    {
        const std::string page = prometheus::TextSerializer().Serialize(counters.registry().Collect());
        samples.push_back({.source = "127.0.0.1:9100", .at = at, .lines = burnMetricLines(page)});
    }

    burn_state stateOf(burn_subject_kind kind, burn_objective objective)
    {
        const burn_report report = makeBurnReport(samples, settings);
        const auto found = std::ranges::find_if(report.states, [&](const burn_state &state) {
            return state.subject.kind == kind && state.subject.objective == objective;
        });
        BOOST_REQUIRE((found != report.states.end()));
        return *found;
    }

    static bool hasFault(std::string_view text, result_code code, std::string_view path)
    {
        const auto faults = readReportSettings(text).faults;
        return std::ranges::any_of(
            faults, [&](const setting_fault &fault) { return fault.code == code && fault.path == path; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(report_test, report_fixture)

BOOST_AUTO_TEST_CASE(samples_ofRealCounters_countedByObjective)
{
    serve(5, result_code::Ok);
    sampleAt(std::chrono::seconds(0));
    serve(90, result_code::Ok);
    serve(6, result_code::NoUpstream);
    serve(50, result_code::OverRate);
    serve(4, result_code::Ok, "panalera", 2.5);
    sampleAt(std::chrono::seconds(10));
    for (const burn_subject_kind kind : {burn_subject_kind::Service, burn_subject_kind::Account}) {
        const burn_state availability = stateOf(kind, burn_objective::Availability);
        BOOST_TEST(availability.periodWindow.total == 100);
        BOOST_TEST(availability.periodWindow.bad == 6);
    }
    const burn_state latency = stateOf(burn_subject_kind::Service, burn_objective::Latency);
    BOOST_TEST(latency.periodWindow.total == 150);
    BOOST_TEST(latency.periodWindow.bad == 4);
}

BOOST_AUTO_TEST_CASE(latency_limitBetweenBounds_countsAtTheLowerOne)
{
    sampleAt(std::chrono::seconds(0));
    counters.observeLatency("cobros", 0.015);
    sampleAt(std::chrono::seconds(5));
    serve(10, result_code::Ok);
    sampleAt(std::chrono::seconds(10));
    settings.defaultObjective.latencyMs = 19;
    BOOST_TEST(stateOf(burn_subject_kind::Service, burn_objective::Latency).periodWindow.bad == 11);
    settings.services["cobros"].latencyMs = 20;
    BOOST_TEST(stateOf(burn_subject_kind::Service, burn_objective::Latency).periodWindow.bad == 0);
}

BOOST_AUTO_TEST_CASE(sampleFile_cutAtTheEnd_wholeLinesReadBack)
{
    serve(3, result_code::Ok, "a \"quoted\" \\ name");
    sampleAt(std::chrono::milliseconds(1'500));
    sampleAt(std::chrono::milliseconds(2'500));
    const std::string text = toLine(samples[0]) + toLine(samples[1]);
    BOOST_TEST((parseSamples(text) == samples));
    BOOST_TEST(parseSamples(text.substr(0, text.size() - 5)).size() == 1U);
    BOOST_CHECK_THROW(parseSamples("{\"at_ms\": 1}\n"), coordination_error);
}

BOOST_AUTO_TEST_CASE(sampleFile_timeOutOfRange_refused)
{
    for (const std::string at : {"-1", "9223372036854775807", "18446744073709551615", "1e300"}) {
        BOOST_CHECK_THROW(parseSamples("{\"at_ms\": " + at + ", \"source\": \"a\", \"lines\": \"\"}\n"),
                          coordination_error);
    }
}

BOOST_AUTO_TEST_CASE(sampleFile_mutatedBytes_readOrRefused)
{
    constexpr int mutations = 2'000;
    serve(3, result_code::Ok);
    sampleAt(std::chrono::milliseconds(1'500));
    const std::string whole = toLine(samples[0]);
    random_source random{42};
    for (int each = 0; each < mutations; ++each) {
        std::string text = whole;
        text[random.below(text.size() - 1)] = static_cast<char>(random.below(256));
        try {
            for (const metrics_sample &sample : parseSamples(text)) {
                burnSampleOf(sample, settings);
            }
        } catch (const coordination_error &error) {
            BOOST_TEST((error.code() == result_code::MessageMalformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(exposition_escapedLabel_readBack)
{
    serve(1, result_code::Ok, "a \"quoted\" \\ name");
    sampleAt({});
    const auto values = parseExposition(samples[0].lines);
    BOOST_TEST(std::ranges::any_of(
        values, [](const metric_value &value) { return value.label("account") == "a \"quoted\" \\ name"; }));
}

BOOST_AUTO_TEST_CASE(exposition_malformedLine_refused)
{
    for (const std::string_view line : {"x", "x ", "x one", "x{a=\"b\" 1", "x{a=b} 1", "x{a=\"b\\", "x{a} 1", "{", " 1",
                                        "x{a=\"b\"} 1 2", "x Nan", "x +Inf", "x inf"}) {
        BOOST_CHECK_THROW(parseExposition(line), coordination_error);
    }
}

BOOST_AUTO_TEST_CASE(settings_wholeFile_exceptionsOnTopOfDefault)
{
    const auto read = readReportSettings(R"({
        // Charges matter most.
        "budgetDays": 7,
        "default": {"availabilityPercent": 99.5, "latencyMs": 200},
        "services": {"cobros": {"availabilityPercent": 99.95}},
        "accounts": {"panalera": {"availabilityPercent": 99}},
        "alerts": [{"name": "page", "burnRate": 10, "longMinutes": 30, "shortMinutes": 5}]})");
    BOOST_TEST(read.faults.empty());
    BOOST_TEST((read.values.policy.period == std::chrono::hours(168)));
    BOOST_TEST(read.values.services.at("cobros").latencyMs == 200);
    BOOST_TEST(objectivePercentOf(read.values, {.name = "cobros"}) == 99.95);
    BOOST_TEST(objectivePercentOf(read.values, {.name = "rutas"}) == 99.5);
    BOOST_TEST(objectivePercentOf(read.values, {.kind = burn_subject_kind::Account, .name = "panalera"}) == 99);
    BOOST_TEST(read.values.policy.rules.size() == 1U);
}

BOOST_AUTO_TEST_CASE(settings_faults_eachWithItsPath)
{
    BOOST_TEST(hasFault("[]", result_code::SettingInvalid, ""));
    BOOST_TEST(hasFault(R"({"budgetDay": 7})", result_code::SettingUnknown, "budgetDay"));
    BOOST_TEST(hasFault(R"({"budgetDays": 0})", result_code::SettingInvalid, "budgetDays"));
    BOOST_TEST(hasFault(R"({"default": 3})", result_code::SettingInvalid, "default"));
    BOOST_TEST(hasFault(R"({"services": {"x": {"availabilityPercent": 100}}})", result_code::SettingInvalid,
                        "services.x.availabilityPercent"));
    BOOST_TEST(
        hasFault(R"({"accounts": {"x": {"latencyMs": 1}}})", result_code::SettingUnknown, "accounts.x.latencyMs"));
    constexpr std::string_view alerts = R"({"alerts": [{"burnRate": 1, "longMinutes": 5, "shortMinutes": 6}]})";
    BOOST_TEST(hasFault(alerts, result_code::SettingInvalid, "alerts[0].name"));
    BOOST_TEST(hasFault(alerts, result_code::SettingInvalid, "alerts[0].shortMinutes"));
}

BOOST_AUTO_TEST_CASE(outputs_firingSubject_shownEscapedInAll)
{
    sampleAt(std::chrono::seconds(0));
    serve(1, result_code::Ok, "<b>&");
    sampleAt(std::chrono::seconds(10));
    serve(10, result_code::NoUpstream, "<b>&");
    sampleAt(std::chrono::seconds(20));
    const burn_report report = makeBurnReport(samples, settings);
    BOOST_TEST(isFiring(report.states.front()));
    BOOST_TEST(burnText(report).find("FIRING") != std::string::npos);
    BOOST_TEST(nlohmann::json::parse(burnJson(report))["firing"].get<bool>());
    const std::string html = burnHtml(report);
    BOOST_TEST(html.find("&lt;b&gt;&amp;") != std::string::npos);
    BOOST_TEST(html.find("<b>") == std::string::npos);
    BOOST_TEST(html.find("<polyline") != std::string::npos);
    BOOST_TEST(html.find("http") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(outputs_singleSample_saysThatNothingWasCounted)
{
    serve(1, result_code::Ok);
    sampleAt({});
    const burn_report report = makeBurnReport(samples, settings);
    BOOST_TEST(report.states.empty());
    BOOST_TEST(burnText(report).find("only one sample") != std::string::npos);
    BOOST_TEST(burnHtml(report).find("only one sample") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
