#pragma once

#include "http/upstream_connection.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"
#include "settings/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace guavafront
{

/// One entry VM as a balancer knows it.
struct balanced_vm {
    endpoint callerEndpoint; ///< Where requests go.
    endpoint metricsEndpoint; ///< Has /ready.
    bool ready = true; ///< As last heard.
};

/// What the load sends.
struct load_options {
    std::vector<balanced_vm> vms; ///< Taken in turn while ready.
    std::string key; ///< Caller's key; empty sends none.
    std::string method; ///< In capitals.
    std::string target; ///< Path with query.
    bool claimed = false; ///< Each request carries an idempotency key.
    std::size_t connections = 4; ///< Each has one request under way.
    duration pause{}; ///< Between two requests on one connection.
};

/// End of one request of the load.
struct load_result {
    std::string name; ///< Under which upstreams count it.
    int status = 0; ///< 0 when there was no whole answer.
    std::string body; ///< Of the answer.
    std::size_t vm = 0; ///< Which of the VMs got it.
    duration endedAfter{}; ///< Begin of the load to the end of the request.
};

/// Asks how many requests have ended.
struct count_load {
    std::promise<std::size_t> reply; ///< Number of results.
};

/// Asks how many VMs gave a status with their latest answer.
struct count_vms_answering {
    int status = 0; ///< Asked for.
    std::promise<std::size_t> reply; ///< Number of VMs.
};

/// Ends the load once the requests under way have ended.
struct finish_load {
    std::promise<std::vector<load_result>> reply; ///< All results.
};

/// Message to a load's task.
using load_message = std::variant<count_load, count_vms_answering, finish_load>;

/// Steady load on a thread of its own.
class load
{
public:
    /// Begins at once.
    explicit load(load_options options);
    ~load();
    load(const load &) = delete;
    load &operator=(const load &) = delete;

    /// Requests that have ended.
    std::size_t endedRequests();

    /// VMs whose latest answer had the status.
    std::size_t vmsAnswering(int status);

    /// Stops sending, waits for the requests under way and gives all results.
    std::vector<load_result> finish();

private:
    mailbox<load_message> m_inbox; ///< Outlives the task.
    loop m_loop; ///< The task's.
    std::thread m_thread; ///< Last: runs the task.
};

/// What a load's thread runs. Loop's thread only.
class load_task
{
public:
    /// Begins at once.
    load_task(loop &owner, load_options options, mailbox<load_message> &inbox);

private:
    struct load_caller {
        std::size_t vm = 0; ///< Where its connection leads.
        std::unique_ptr<upstream_connection> connection; ///< Kept while the VM is ready.
        std::unique_ptr<timer> nextRequest; ///< Until its next request.
        bool running = false; ///< A request is under way.
    };

    void receive(load_message message);
    void handle(count_load &message);
    void handle(count_vms_answering &message);
    void handle(finish_load &message);
    void checkReadiness();
    void checkReadinessOf(std::size_t vm);
    void send(load_caller &caller);
    void connect(load_caller &caller);
    void recordResult(load_caller &caller, const std::string &name, const upstream_outcome &outcome);
    void finishWhenIdle();

    loop &m_loop; ///< Not owned.
    load_options m_options; ///< As constructed; readiness changes.
    std::vector<std::unique_ptr<upstream_connection>> m_readinessChecks; ///< By VM.
    std::vector<load_caller> m_callers; ///< One for each connection.
    std::vector<load_result> m_results; ///< In order of their ends.
    const instant m_begin = loop::now(); ///< Of the load.
    std::size_t m_sent = 0; ///< Requests ever sent.
    std::size_t m_nextVm = 0; ///< Where the turn is.
    std::optional<finish_load> m_finish; ///< Set once asked to.
    timer m_readinessTimer; ///< Until the next look at /ready.
    mailbox_attachment<load_message> m_attachment; ///< Last, so that it ends first.
};

} // namespace guavafront
