#pragma once

#include "fleet/fleet_processes.h"
#include "scenarios/load_task.h"
#include "scenarios/relay.h"
#include "scenarios/scenario.h"

#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace guavafront
{

/// What one sending of a request brought.
struct call_result {
    int status = 0; ///< 0 when there was no whole answer.
    bool notRun = false; ///< The refusal says "not run".
    std::string body; ///< Of the answer.
};

/// One named request with all its sendings.
struct sent_request {
    request_step request; ///< As first sent.
    std::future<call_result> pending; ///< Of a sending in the background.
    std::vector<call_result> results; ///< In order.
};

/// One upstream and the relay before it.
struct relayed_upstream {
    upstream_spec spec; ///< As in the file.
    relay link; ///< Before it.
    bool frozen = false; ///< Doesn't answer at present.
    bool running = true; ///< Its process runs.
};

/// State of a scenario under way.
struct scenario_run {
    const scenario &plan; ///< Not owned.
    std::map<std::string, relay> vmLinks; ///< Before VMs, by name; empty unless the plan relays links between VMs.
    fleet_processes fleet; ///< Its processes.
    std::map<std::string, std::string> keys; ///< By account.
    std::map<std::string, relayed_upstream> upstreams; ///< By name.
    std::map<std::string, sent_request> requests; ///< By name.
    std::unique_ptr<load> runningLoad; ///< While a load runs.

    /// Nothing runs yet.
    explicit scenario_run(const scenario &scenarioPlan);
};

/// Starts the fleet, then waits until each entry VM serves each route and a claim can be made.
void startFleet(scenario_run &run);

/// Performs one step; failed expectations are reported to Boost.Test.
void perform(scenario_run &run, const request_step &step);
void perform(scenario_run &run, const await_step &step); ///< As above.
void perform(scenario_run &run, const resend_step &step); ///< As above.
void perform(scenario_run &run, const await_claimed_step &step); ///< As above.
void perform(scenario_run &run, const process_step &step); ///< As above.
void perform(scenario_run &run, const link_step &step); ///< As above.
void perform(scenario_run &run, const silence_step &step); ///< As above.
void perform(scenario_run &run, const await_held_step &step); ///< As above.
void perform(scenario_run &run, const await_runs_step &step); ///< As above.
void perform(scenario_run &run, const await_status_step &step); ///< As above.
void perform(scenario_run &run, const load_step &step); ///< As above.
void perform(scenario_run &run, const await_load_step &step); ///< As above.
void perform(scenario_run &run, const await_load_status_step &step); ///< As above.
void perform(scenario_run &run, const stop_load_step &step); ///< As above.
void perform(scenario_run &run, const withdraw_step &step); ///< As above.
void perform(scenario_run &run, const race_step &step); ///< As above.

/// Key of an account; empty for no account.
std::string keyOf(const scenario_run &run, const std::string &account);

/// Runs of a request at all upstreams that ever ran.
std::uint64_t runsOf(const scenario_run &run, const std::string &request);

/// Heals all links, lets what is under way arrive, then checks what must hold.
void checkEnd(scenario_run &run);

/// Runs a whole scenario.
void runScenario(const scenario &plan);

} // namespace guavafront
