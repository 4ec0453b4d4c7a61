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

/// One entry VM as a load balancer sees it.
struct balanced_vm {
    endpoint callerEndpoint; ///< Endpoint that receives the requests of the load.
    endpoint metricsEndpoint; ///< Endpoint that serves /ready.
    bool ready = true; ///< Whether the latest check of /ready answered 200; assumed until the first check ends.
};

/// Requests of a load and the entry VMs that they go to.
struct load_options {
    std::vector<balanced_vm> vms; ///< Entry VMs; new connections go to the ready ones in turn.
    std::string key; ///< Account key sent as a bearer token; empty sends none.
    std::string method; ///< HTTP method in upper case.
    std::string target; ///< Path and query.
    bool claimed = false; ///< Whether each request carries an idempotency key, so that it is run under a claim.
    std::size_t connections = 4; ///< Number of connections; each has at most one request in progress.
    duration pause{}; ///< Time from the end of a request to the next one on the same connection.
};

/// Result of one request of the load.
struct load_result {
    std::string name; ///< Request ID, under which upstreams record the run.
    int status = 0; ///< HTTP status; 0 when no complete answer was received.
    std::string body; ///< Body of the answer; empty when no complete answer was received.
    std::size_t vm = 0; ///< Index in load_options::vms of the VM that the request was sent to.
    duration endedAfter{}; ///< Time from the start of the load to the end of the request.
};

/// Asks a load's task how many requests have ended.
struct count_load {
    std::promise<std::size_t> reply; ///< Receives the number of ended requests.
};

/// Asks a load's task for how many VMs the latest result has a given status.
struct count_vms_answering {
    int status = 0; ///< Status to count; 0 counts VMs without a complete or without any answer.
    std::promise<std::size_t> reply; ///< Receives the number of VMs.
};

/// Stops sending requests and ends the load's task when the requests in progress have ended.
struct finish_load {
    std::promise<std::vector<load_result>> reply; ///< Receives the results of all requests.
};

/// Message to a load's task.
using load_message = std::variant<count_load, count_vms_answering, finish_load>;

/// Continuous load on entry VMs, sent by a task on its own thread.
class load
{
public:
    /// Starts the thread, which sends the first requests at once.
    explicit load(load_options options);
    ~load();
    load(const load &) = delete;
    load &operator=(const load &) = delete;

    /// Number of requests that have ended.
    std::size_t endedRequests();

    /// Number of VMs whose latest result has the status. Status 0 counts VMs without a complete or without any answer.
    std::size_t vmsAnswering(int status);

    /// Stops sending, waits for the requests in progress and returns all results. The load's task ends with this call,
    /// so no other may follow.
    std::vector<load_result> finish();

private:
    /// Messages to the task; declared before the thread because it must outlive the task.
    mailbox<load_message> m_inbox;
    loop m_loop; ///< Event loop of the task.
    std::thread m_thread; ///< Runs the task; declared last so that the members that it uses exist before it starts.
};

/// Task of a load: sends the requests and checks the readiness of the VMs. Used on the thread of its loop only.
class load_task
{
public:
    /// Schedules the first requests and checks of /ready. The loop and the inbox must outlive the task.
    load_task(loop &owner, load_options options, mailbox<load_message> &inbox);

private:
    /// One connection of the load, with at most one request in progress.
    struct load_caller {
        std::size_t vm = 0; ///< Index of the VM that the connection leads to.

        /// Connection kept while its VM is ready; null when there is none.
        std::unique_ptr<upstream_connection> connection;
        std::unique_ptr<timer> nextRequest; ///< Fires when the next request is due.
        bool running = false; ///< Whether a request is in progress.
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

    loop &m_loop; ///< Loop that runs this task; not owned.
    load_options m_options; ///< Options of the load; the readiness of the VMs is updated by each check.

    /// Connections of the running /ready checks, by VM index; null when none is running.
    std::vector<std::unique_ptr<upstream_connection>> m_readinessChecks;
    std::vector<load_caller> m_callers; ///< Connections of the load.
    std::vector<load_result> m_results; ///< Results in the order in which the requests ended.
    const instant m_begin = loop::now(); ///< Start of the load.
    std::size_t m_sent = 0; ///< Number of requests sent; numbers their names.
    std::size_t m_nextVm = 0; ///< Counter that selects the next VM, modulo the number of VMs.
    std::optional<finish_load> m_finish; ///< Request to end the load; empty until it is received.
    timer m_readinessTimer; ///< Fires when the next check of /ready is due.

    /// Delivers messages from the inbox; declared last so that delivery stops before the other members are destroyed.
    mailbox_attachment<load_message> m_attachment;
};

} // namespace guavafront
