#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// One upstream instance of a scenario. Entry VMs reach it through a relay, which steps address by the instance's name.
struct upstream_spec {
    std::string name; ///< Name of the instance in steps.
    std::string service; ///< Service that the instance announces.
    std::vector<std::string> entries; ///< Entry VMs that the instance announces itself to.
    std::uint64_t slots = 4; ///< Number of requests that the instance runs at the same time.
};

/// One route of a scenario.
struct route_spec {
    std::string prefix; ///< Path prefix of the requests that the route matches.
    std::string service; ///< Service that the requests are sent to.
    std::uint64_t timeoutMs = 2000; ///< Deadline of each request, in milliseconds.
    std::string repeats = "by_method"; ///< Value of the operator command's option --repeats.
    bool open = false; ///< Whether requests need no account key.
};

/// One fleet-wide default that differs from the product's.
struct default_spec {
    std::string setting; ///< Name of the setting in the operator command.
    std::uint64_t value = 0; ///< Value in the unit that the setting's name ends with.
};

/// VMs, upstream instances and settings of a scenario.
struct fleet_spec {
    std::uint64_t controls = 1; ///< Number of control VMs.
    std::uint64_t entries = 2; ///< Number of entry VMs.
    std::uint64_t dataCentres = 3; ///< Number of data centres; VMs are assigned to them in turn.
    bool relayPeers = false; ///< Whether the links between VMs lead through relays.
    std::uint64_t balancerGraceMs = 100; ///< Setting balancerGraceMs of the entry VMs, in milliseconds.
    std::vector<std::string> accounts; ///< Names of the client accounts; each gets one key.
    std::vector<default_spec> defaults; ///< Defaults that are set before the first step.
    std::vector<route_spec> routes; ///< Routes in the order in which they are created.
    std::vector<upstream_spec> upstreams; ///< Upstream instances in the order in which they are started.
};

/// Conditions that an answer must meet.
struct expectation {
    std::vector<std::uint64_t> status; ///< Allowed statuses; 0 stands for no complete answer. Empty allows all.

    /// Whether the answer must state that the request was not run: "true", "false", or empty for either.
    std::string notRun;
    std::string sameAs; ///< Request whose first answer must have the same body; empty for no comparison.
};

/// Sends a request. Its name is its request ID, and also its idempotency key unless claimed is false.
struct request_step {
    std::string name; ///< Unique name, under which upstreams record the runs.
    std::string entry; ///< Entry VM that the request is sent to.
    std::string method = "POST"; ///< HTTP method in upper case.
    std::string target; ///< Path and query.
    std::string account; ///< Account whose key the request carries; empty for no key.
    bool claimed = true; ///< Whether the request carries its name as the idempotency key.
    bool background = false; ///< Whether the step doesn't wait for the answer; an await step takes it later.
    expectation expect; ///< Conditions on the answer; not used for a request in the background.
};

/// Waits for the answer to a request that was sent in the background.
struct await_step {
    std::string request; ///< Name of the request.
    expectation expect; ///< Conditions on the answer.
};

/// Sends a request again with the same idempotency key, and repeats that for up to 20 s while the answer states "not
/// run".
struct resend_step {
    std::string request; ///< Name of the request.
    std::string entry; ///< Entry VM that the request is sent to.
    bool untilDecided = true; ///< Whether to repeat while the answer states "not run"; false sends once.
    expectation expect; ///< Conditions on the last answer.
};

/// Waits until a request in the background has its claim. Sends the request once more to the same entry VM: the one of
/// the two that doesn't get the claim is answered that the other is in progress.
struct await_claimed_step {
    std::string request; ///< Name of the request.
};

/// Faults and other actions on one process.
enum class process_action : std::uint8_t {
    Kill, ///< Sends SIGKILL.
    Freeze, ///< Sends SIGSTOP.
    Thaw, ///< Sends SIGCONT.
    Terminate, ///< Sends SIGTERM.
    Start, ///< Starts the process again.
    LoseDisk, ///< Removes the data folder of a control VM, which must not be running.
    AwaitEnd, ///< Waits until the process has ended.
    AwaitReady, ///< Waits until /ready of a VM answers 200.
    Release, ///< Makes an upstream instance answer the requests that it holds.
};

/// Performs one action on one process.
struct process_step {
    process_action action = process_action::Kill; ///< Action to perform.
    std::string process; ///< Name of the VM or upstream instance.
};

/// How a link treats bytes in one direction.
enum class link_mode : std::uint8_t {
    Pass, ///< Forwards the bytes at once.
    Hold, ///< Holds the bytes until the mode changes, as TCP does while the network is cut.
    Reset, ///< Closes the connection when bytes arrive.
    Delay, ///< Forwards the bytes after a delay.
};

/// Sets the mode of one or both directions of a link.
struct link_step {
    std::string link; ///< Owner of the link: an upstream instance, or a VM for all its links to other VMs.
    link_mode mode = link_mode::Pass; ///< Mode that applies from this step on.
    bool towards = false; ///< Whether the mode applies to bytes sent to the owner.
    bool away = false; ///< Whether the mode applies to bytes sent by the owner.
    std::string peer; ///< For a VM's links: the only other VM whose link is changed; empty for all.
    std::uint64_t milliseconds = 0; ///< Delay in milliseconds, for link_mode::Delay only.
};

/// Makes the open connections of an upstream instance's link hold all bytes for good; new connections work.
struct silence_step {
    std::string link; ///< Name of the upstream instance.
};

/// Waits until a cut link holds bytes in one direction.
struct await_held_step {
    std::string link; ///< Owner of the link: an upstream instance or a VM.
    bool towards = false; ///< True for bytes sent to the owner, false for bytes sent by it.
};

/// Waits until upstream instances have begun to run a request a number of times.
struct await_runs_step {
    std::string request; ///< Name of the request.
    std::uint64_t runs = 1; ///< Lowest number of runs to wait for.
};

/// Waits until an entry VM answers a GET request with a status.
struct await_status_step {
    std::string entry; ///< Entry VM that is asked.
    std::string target; ///< Path of the request.
    std::string account; ///< Account whose key the request carries; empty for no key.
    std::uint64_t status = 200; ///< Status to wait for.
};

/// Starts a continuous load over persistent connections, which are opened as a load balancer does: to VMs whose /ready
/// answers 200.
struct load_step {
    std::string account; ///< Account whose key the requests carry; empty for no key.
    std::string method = "POST"; ///< HTTP method in upper case.
    std::string target; ///< Path and query.
    bool claimed = false; ///< Whether each request carries an idempotency key.
    std::uint64_t connections = 4; ///< Number of connections; each has at most one request in progress.

    /// Time from the end of a request to the next one on the same connection, in milliseconds.
    std::uint64_t pauseMs = 10;
};

/// Waits until a number of further requests of the load have ended.
struct await_load_step {
    std::uint64_t answers = 50; ///< Number of requests that must end after the step begins.
};

/// Waits until the latest result of the load at each entry VM has a status.
struct await_load_status_step {
    std::uint64_t status = 0; ///< Status to wait for; 0 stands for no complete answer.
};

/// Ends the load, waits for the requests in progress and checks all results.
struct stop_load_step {
    std::vector<std::uint64_t> allowed; ///< Allowed statuses besides 200; 0 stands for no complete answer.
};

/// Withdraws an account's key.
struct withdraw_step {
    std::string account; ///< Account whose key is withdrawn.
};

/// Several operators each make a change based on the same revision; exactly one may succeed.
struct race_step {
    std::uint64_t operators = 2; ///< Number of operators that make a change at the same time.
};

/// One step of a scenario.
using scenario_step = std::variant<request_step, await_step, resend_step, await_claimed_step, process_step, link_step,
                                   silence_step, await_held_step, await_runs_step, await_status_step, load_step,
                                   await_load_step, await_load_status_step, stop_load_step, withdraw_step, race_step>;

/// Bounds of the number of times that a request is run, over all upstream instances.
struct run_bounds {
    std::string request; ///< Name of the request.
    std::uint64_t least = 0; ///< Lowest allowed number of runs.
    std::uint64_t most = 1; ///< Highest allowed number of runs.
};

/// One scenario to run; a file with a table of alternatives yields one for each combination.
struct scenario {
    std::string name; ///< Name of the file, followed by the names of the chosen alternatives.
    fleet_spec fleet; ///< Fleet that is started.
    std::vector<scenario_step> steps; ///< Steps in the order in which they are performed.
    std::vector<run_bounds> runs; ///< Run bounds checked at the end, besides the checks made for every scenario.
};

} // namespace guavafront
