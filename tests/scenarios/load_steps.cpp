#include "scenarios/scenario_run.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr int okStatus = 200;

} // namespace

void perform(scenario_run &run, const load_step &step)
{
    load_options options{.vms = {},
                         .key = keyOf(run, step.account),
                         .method = step.method,
                         .target = step.target,
                         .claimed = step.claimed,
                         .connections = step.connections,
                         .pause = std::chrono::milliseconds(step.pauseMs)};
    for (const std::string &entry : run.fleet.entries()) {
        const vm_ports &ports = run.fleet.portsOf(entry);
        options.vms.push_back(
            {.callerEndpoint = {"127.0.0.1", ports.callers}, .metricsEndpoint = {"127.0.0.1", ports.metrics}});
    }
    run.runningLoad = std::make_unique<load>(std::move(options));
}

void perform(scenario_run &run, const await_load_step &step)
{
    const std::size_t wanted = run.runningLoad->endedRequests() + step.answers;
    fleet_processes::waitUntil("the load makes progress", [&] { return run.runningLoad->endedRequests() >= wanted; });
}

void perform(scenario_run &run, const await_load_status_step &step)
{
    fleet_processes::waitUntil("each entry VM answers the load with " + std::to_string(step.status), [&] {
        return run.runningLoad->vmsAnswering(static_cast<int>(step.status)) == run.fleet.entries().size();
    });
}

void perform(scenario_run &run, const stop_load_step &step)
{
    const std::vector<load_result> results = run.runningLoad->finish();
    run.runningLoad.reset();
    std::size_t ran = 0;
    for (const load_result &each : results) {
        const bool allowed =
            each.status == okStatus
            || std::ranges::find(step.allowed, static_cast<std::uint64_t>(each.status)) != step.allowed.end();
        const auto endedAfterMs = std::chrono::duration_cast<std::chrono::milliseconds>(each.endedAfter).count();
        BOOST_CHECK_MESSAGE(allowed, each.name << " at " << endedAfterMs << " ms got " << each.status << " from "
                                               << run.fleet.entries()[each.vm] << " " << each.body);
        const bool saidNotRun = each.body.find("\"not_run\":true") != std::string::npos;
        const std::uint64_t runs = runsOf(run, each.name);
        BOOST_CHECK_MESSAGE(runs <= 1, each.name << " ran " << runs << " times");
        BOOST_CHECK_MESSAGE(each.status != okStatus || runs == 1,
                            each.name << " was answered with 200, but ran " << runs << " times");
        BOOST_CHECK_MESSAGE(!saidNotRun || runs == 0,
                            each.name << " was reported as not run, but ran " << runs << " times");
        ran += runs;
    }
    BOOST_TEST_MESSAGE("load: " << results.size() << " results, " << ran << " runs");
}

} // namespace guavafront
