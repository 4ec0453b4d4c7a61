#include "scenarios/scenario_run.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace guavafront
{

namespace
{

constexpr int okStatus = 200;

/// Calls visit with each line of the upstream instances' run files. An instance writes a line when it begins to run a
/// request; the files remain when its process ends.
template<class visitor>
void forEachRun(const scenario_run &run, const visitor &visit)
{
    for (const auto &[name, upstream] : run.upstreams) {
        std::ifstream file(run.fleet.folder() / (name + ".runs"));
        for (std::string line; std::getline(file, line);) {
            visit(line);
        }
    }
}

/// Number of runs, by request ID.
std::map<std::string, std::uint64_t> countRuns(const scenario_run &run)
{
    std::map<std::string, std::uint64_t> runs;
    forEachRun(run, [&runs](const std::string &line) {
        const nlohmann::json report = nlohmann::json::parse(line, nullptr, false);
        if (!report.is_discarded()) { // An incomplete line is still being written.
            ++runs[report.at("request").get<std::string>()];
        }
    });
    return runs;
}

/// Restores the links of the upstream instances and waits until each running instance has read all held bytes.
void drainLinks(scenario_run &run)
{
    for (auto &[name, upstream] : run.upstreams) {
        perform(run, link_step{.link = name, .mode = link_mode::Pass, .towards = true, .away = true});
        if (!upstream.running) {
            continue;
        }
        if (upstream.frozen) {
            perform(run, process_step{process_action::Thaw, name});
        }
        fleet_processes::waitUntil(name + "'s link is empty",
                                   [&link = upstream.link] { return link.heldBytes(link_direction::Towards) == 0; });
        // The instance answers only after it has read the bytes that arrived before the request for its counts.
        run.fleet.requestUpstream(name, "GET", "/counts");
        run.fleet.requestUpstream(name, "GET", "/counts");
    }
}

void checkRuns(const scenario_run &run)
{
    std::map<std::string, std::uint64_t> runs = countRuns(run);
    for (const auto &[name, sent] : run.requests) {
        const bool allNotRun = std::ranges::all_of(sent.results, &call_result::notRun);
        BOOST_CHECK_MESSAGE(runs[name] <= 1 || !sent.request.claimed, name << " ran " << runs[name] << " times");
        BOOST_CHECK_MESSAGE(!allNotRun || runs[name] == 0,
                            name << " was reported as not run, but ran " << runs[name] << " times");
    }
    for (const run_bounds &each : run.plan.runs) {
        const std::uint64_t count = runs[each.request];
        BOOST_CHECK_MESSAGE(count >= each.least && count <= each.most, each.request << " ran " << count << " times");
    }
}

/// Checks that all answers with status 200 to one claimed request have the same body.
void checkSameAnswer(const sent_request &sent)
{
    const call_result *first = nullptr;
    for (const call_result &each : sent.results) {
        if (each.status != okStatus || !sent.request.claimed) {
            continue;
        }
        first = first ? first : &each;
        BOOST_TEST(each.body == first->body);
    }
}

void checkKeysHidden(const scenario_run &run)
{
    forEachRun(run, [&run](const std::string &line) {
        for (const auto &[account, key] : run.keys) {
            BOOST_CHECK_MESSAGE(line.find(key) == std::string::npos, "an upstream saw the key of " << account);
        }
    });
}

} // namespace

std::uint64_t runsOf(const scenario_run &run, const std::string &request)
{
    return countRuns(run)[request];
}

void checkEnd(scenario_run &run)
{
    drainLinks(run);
    checkRuns(run);
    checkKeysHidden(run);
    for (const auto &[name, sent] : run.requests) {
        BOOST_CHECK_MESSAGE(!sent.pending.valid(), name << " was not awaited");
        checkSameAnswer(sent);
    }
}

} // namespace guavafront
