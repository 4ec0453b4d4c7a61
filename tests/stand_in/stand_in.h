#pragma once

#include "http/http_server.h"
#include "runtime/timer.h"

#include <guavafront/coordination/registry/announcement.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace guavafront
{

/// What a stand-in does with a request.
enum class stand_in_behaviour : std::uint8_t {
    Normal, ///< Answers after the latency.
    Silent, ///< Runs the request and never answers.
    Hold, ///< Runs the request and answers after a call of /release.
    Cut, ///< Closes in the middle of the answer's body.
    CutHeader, ///< Closes in the middle of the answer's header.
    Close, ///< Closes without a byte.
    Crash, ///< Ends the process.
    Shed, ///< Refuses with 503 before running.
    LeftOver, ///< Sends a foreign answer right after its own.
    EarlyHints, ///< Sends 103 before the answer.
};

/// Settings of one stand-in upstream.
struct stand_in_options {
    http_server_options server; ///< Where it listens.
    std::string name = "stand-in"; ///< Shown in each answer.
    duration latency{}; ///< Time to run a request.
    std::size_t slots = 4; ///< Requests it runs at once; more are shed.
    std::string runsFile; ///< Gets a line of JSON for each run before it starts, so that a crash hides none.
};

/// Upstream for tests: runs requests in slots, counts the runs of each request ID, misbehaves on demand. A request
/// asks for a behaviour by the query parameters `behaviour` and `ms`; /control sets them for all requests; /release
/// answers all that are held.
class stand_in
{
public:
    /// Listens at once; onStateChange is called when the announced state changed.
    stand_in(loop &owner, stand_in_options options, std::function<void()> onStateChange);

    /// Bound port.
    std::uint16_t port() const;

    /// State that it announces.
    instance_state state() const;

    /// Share of its slots in use.
    float load() const;

    /// Announces that it leaves, finishes what runs, then calls onStopped.
    void stop(std::function<void()> onStopped);

private:
    struct run_plan {
        stand_in_behaviour behaviour = stand_in_behaviour::Normal; ///< What to do.
        duration latency{}; ///< Time to run.
    };
    struct running_request {
        run_plan plan; ///< As asked.
        std::string answer; ///< Body of the answer.
        std::unique_ptr<timer> completion; ///< End of the run.
    };

    run_plan planFrom(std::string_view query) const;
    void receive(exchange_id id, const http_request &request);
    void control(exchange_id id, const http_request &request);
    void run(exchange_id id, const http_request &request);
    void recordRun(const std::string &report) const;
    void release(exchange_id id);
    void finish(exchange_id id);
    void sendRaw(exchange_id id, std::string_view bytes, bool closeAfter);
    std::string describeRun(const http_request &request, std::string_view requestId);

    loop &m_loop; ///< Not owned.
    const stand_in_options m_options; ///< As constructed.
    const std::function<void()> m_onStateChange; ///< As constructed.
    run_plan m_defaultPlan; ///< For requests that ask for nothing.
    instance_state m_state = instance_state::Serving; ///< As announced.
    std::map<std::string, std::uint64_t> m_runCounts; ///< Runs by request ID.
    std::unordered_map<exchange_id, running_request> m_runningRequests; ///< Requests in slots.
    http_server m_server; ///< Last, so that it ends first.
};

} // namespace guavafront
