#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// One upstream instance of a scenario, reached through a relay that has the upstream's name.
struct upstream_spec {
    std::string name; ///< In steps.
    std::string service; ///< That it announces.
    std::vector<std::string> entries; ///< That hear its announcements.
    std::uint64_t slots = 4; ///< Requests that it runs at once.
};

/// One route of a scenario.
struct route_spec {
    std::string prefix; ///< Path prefix.
    std::string service; ///< Where it leads.
    std::uint64_t timeoutMs = 2000; ///< Deadline.
    std::string repeats = "by_method"; ///< As the operator command names it.
    bool open = false; ///< No key is needed.
};

/// One fleet-wide default that differs from the product's.
struct default_spec {
    std::string setting; ///< As the operator command names it.
    std::uint64_t value = 0; ///< In the unit of its name.
};

/// The fleet of a scenario.
struct fleet_spec {
    std::uint64_t controls = 1; ///< Control VMs.
    std::uint64_t entries = 2; ///< Entry VMs.
    std::uint64_t dataCentres = 3; ///< Dealt to the VMs in turn.
    bool relayPeers = false; ///< Links between VMs lead through relays.
    std::uint64_t balancerGraceMs = 100; ///< Of the entry VMs.
    std::vector<std::string> accounts; ///< Client accounts, each with one key.
    std::vector<default_spec> defaults; ///< Set before the steps.
    std::vector<route_spec> routes; ///< In order.
    std::vector<upstream_spec> upstreams; ///< In start order.
};

/// What an answer must be.
struct expectation {
    std::vector<std::uint64_t> status; ///< Allowed; 0 is no whole answer. Empty allows all.
    std::string notRun; ///< "true", "false", or empty for any.
    std::string sameAs; ///< Request whose answer's body this one repeats; empty for none.
};

/// A request; its key is the idempotency key as well, unless claimed is false.
struct request_step {
    std::string name; ///< Unique; counted under it at upstreams.
    std::string entry; ///< Entry VM that gets it.
    std::string method = "POST"; ///< In capitals.
    std::string target; ///< Path with query.
    std::string account; ///< Whose key it carries; empty carries none.
    bool claimed = true; ///< Carries its name as the idempotency key.
    bool background = false; ///< An await step takes its answer.
    expectation expect; ///< Checked unless in the background.
};

/// Waits for the answer to a request in the background.
struct await_step {
    std::string request; ///< Its name.
    expectation expect; ///< What it must be.
};

/// Sends a request again with its idempotency key, and again while it hears "not run".
struct resend_step {
    std::string request; ///< Its name.
    std::string entry; ///< Where to.
    bool untilDecided = true; ///< False sends once.
    expectation expect; ///< Of the last answer.
};

/// Waits until a request in the background has won its claim: sends it again to the same entry VM until one of the two
/// is told that the other is in progress.
struct await_claimed_step {
    std::string request; ///< Its name.
};

/// Faults and acts upon one process.
enum class process_action : std::uint8_t {
    Kill, ///< SIGKILL.
    Freeze, ///< SIGSTOP.
    Thaw, ///< SIGCONT.
    Terminate, ///< SIGTERM.
    Start, ///< Starts it again.
    LoseDisk, ///< Its data folder is gone; it must not run.
    AwaitEnd, ///< Waits until it has ended.
    AwaitReady, ///< Waits until /ready says yes.
    Release, ///< An upstream answers what it holds.
};

/// One act upon one process.
struct process_step {
    process_action action = process_action::Kill; ///< What to do.
    std::string process; ///< VM or upstream.
};

/// What a link does with bytes in one direction.
enum class link_mode : std::uint8_t {
    Pass, ///< Passes them on.
    Hold, ///< Keeps them until it passes again, as TCP does through a cut.
    Reset, ///< Closes the connection when some come.
    Delay, ///< Passes them on after a while.
};

/// Changes one or both directions of a link.
struct link_step {
    std::string link; ///< Upstream, or VM whose links are meant.
    link_mode mode = link_mode::Pass; ///< From now on.
    bool towards = false; ///< Bytes to the link's owner.
    bool away = false; ///< Bytes from it.
    std::string peer; ///< Between VMs: only bytes from and to this VM; empty for all.
    std::uint64_t milliseconds = 0; ///< Of Delay.
};

/// The present connections of a link go silent for good; new ones work.
struct silence_step {
    std::string link; ///< Which.
};

/// Waits until a cut link holds bytes of a direction.
struct await_held_step {
    std::string link; ///< Which.
    bool towards = false; ///< Else away.
};

/// Waits until a request has run.
struct await_runs_step {
    std::string request; ///< Its name.
    std::uint64_t runs = 1; ///< At least.
};

/// Waits until an entry VM answers a GET with a status.
struct await_status_step {
    std::string entry; ///< Which.
    std::string target; ///< Path.
    std::string account; ///< Whose key; empty carries none.
    std::uint64_t status = 200; ///< Awaited.
};

/// Steady load over kept connections, placed as a balancer does: on VMs whose /ready says yes.
struct load_step {
    std::string account; ///< Whose key it carries; empty carries none.
    std::string method = "POST"; ///< In capitals.
    std::string target; ///< Path with query.
    bool claimed = false; ///< Each request carries an idempotency key.
    std::uint64_t connections = 4; ///< Each has one request under way.
    std::uint64_t pauseMs = 10; ///< Between two requests on one connection.
};

/// Waits until the load has got so many more answers.
struct await_load_step {
    std::uint64_t answers = 50; ///< More than now.
};

/// Waits until the load's latest answer from each entry VM has a status.
struct await_load_status_step {
    std::uint64_t status = 0; ///< Awaited.
};

/// Ends the load and waits for the answers under way.
struct stop_load_step {
    std::vector<std::uint64_t> allowed; ///< Statuses that may have come, besides 200; 0 is a cut request.
};

/// Withdraws an account's key.
struct withdraw_step {
    std::string account; ///< Whose.
};

/// Operators make a change each, based on the same revision.
struct race_step {
    std::uint64_t operators = 2; ///< At once.
};

/// One step.
using scenario_step = std::variant<request_step, await_step, resend_step, await_claimed_step, process_step, link_step,
                                   silence_step, await_held_step, await_runs_step, await_status_step, load_step,
                                   await_load_step, await_load_status_step, stop_load_step, withdraw_step, race_step>;

/// Bounds of a request's runs at all upstreams together.
struct run_bounds {
    std::string request; ///< Its name.
    std::uint64_t least = 0; ///< Runs at least.
    std::uint64_t most = 1; ///< Runs at most.
};

/// One run of a scenario file; a file with a table gives one for each combination.
struct scenario {
    std::string name; ///< File, and combination.
    fleet_spec fleet; ///< What is started.
    std::vector<scenario_step> steps; ///< In order.
    std::vector<run_bounds> runs; ///< What must hold at the end, besides what always must.
};

} // namespace guavafront
