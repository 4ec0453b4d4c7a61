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

/// Result of sending a request once.
struct call_result {
    int status = 0; ///< HTTP status; 0 when no complete answer was received.
    bool notRun = false; ///< Whether the answer states that the request was not run.
    std::string body; ///< Body of the answer.
};

/// One named request with the results of each time that it was sent.
struct sent_request {
    request_step request; ///< Request as it was first sent.
    std::future<call_result> pending; ///< Result that an await step will take; invalid when none is awaited.
    std::vector<call_result> results; ///< Results in the order in which they were taken.
};

/// One upstream instance and the relay in front of it.
struct relayed_upstream {
    upstream_spec spec; ///< Upstream instance as the scenario file describes it.
    relay link; ///< Relay that the entry VMs connect to.
    bool frozen = false; ///< Whether the process is stopped by SIGSTOP.
    bool running = true; ///< Whether the process was started and not killed by a step since.
};

/// State of a scenario that is being run.
struct scenario_run {
    const scenario &plan; ///< Scenario that is run; not owned.

    /// Relays in front of the VMs, by VM name; empty unless fleet_spec::relayPeers is set.
    std::map<std::string, relay> vmLinks;
    fleet_processes fleet; ///< Processes of the VMs and upstream instances.
    std::map<std::string, std::string> keys; ///< Account keys, by account name.
    std::map<std::string, relayed_upstream> upstreams; ///< Upstream instances, by name.
    std::map<std::string, sent_request> requests; ///< Requests that were sent, by name.
    std::unique_ptr<load> runningLoad; ///< Load that is running; null when there is none.

    /// Prepares the settings of the fleet and the relays of its VMs; starts no process.
    explicit scenario_run(const scenario &scenarioPlan);
};

/// Starts the VMs and upstream instances, makes the accounts, defaults and routes, and waits until each entry VM serves
/// each route and can make a claim.
void startFleet(scenario_run &run);

/// Performs one step of a scenario, as the type of the step describes it. This holds for all overloads: failed
/// expectations are reported to Boost.Test, and a wait that takes too long throws.
void perform(scenario_run &run, const request_step &step);
void perform(scenario_run &run, const await_step &step);
void perform(scenario_run &run, const resend_step &step);
void perform(scenario_run &run, const await_claimed_step &step);
void perform(scenario_run &run, const process_step &step);
void perform(scenario_run &run, const link_step &step);
void perform(scenario_run &run, const silence_step &step);
void perform(scenario_run &run, const await_held_step &step);
void perform(scenario_run &run, const await_runs_step &step);
void perform(scenario_run &run, const await_status_step &step);
void perform(scenario_run &run, const load_step &step);
void perform(scenario_run &run, const await_load_step &step);
void perform(scenario_run &run, const await_load_status_step &step);
void perform(scenario_run &run, const stop_load_step &step);
void perform(scenario_run &run, const withdraw_step &step);
void perform(scenario_run &run, const race_step &step);

/// Key of an account; empty when the account's name is empty.
std::string keyOf(const scenario_run &run, const std::string &account);

/// Number of times that a request was run, over all upstream instances, including those that have ended.
std::uint64_t runsOf(const scenario_run &run, const std::string &request);

/// Restores the links of all upstream instances, waits until held bytes have been delivered, and then checks the run
/// bounds of the scenario and what holds in every scenario: a claimed request is run at most once and all its answers
/// with status 200 are the same, a request reported as not run was not run, each answer was awaited, and upstreams see
/// no account keys.
void checkEnd(scenario_run &run);

/// Starts the fleet of a scenario, performs its steps and checks the outcome.
void runScenario(const scenario &plan);

} // namespace guavafront
