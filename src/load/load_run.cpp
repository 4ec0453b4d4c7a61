#include "load/load_run.h"

#include "load/load_outcome.h"
#include "load/target_connections.h"
#include "runtime/signal_watch.h"
#include "runtime/timer.h"

#include <cassert>
#include <csignal>
#include <memory>
#include <span>

namespace guavafront
{

namespace
{

/// Runs one load; owns its event loop, connections, schedule and results.
class load_runner
{
public:
    load_runner(const load_options &options, const std::function<void(duration, const load_result &)> &onProgress)
        : m_options(options)
        , m_onProgress(onProgress)
        , m_loop({.precision = timer_precision::Microseconds})
        , m_sendTimer(m_loop, [this] { sendDueArrivals(); })
        , m_progressTimer(m_loop, [this] { reportProgress(); })
        , m_signals(m_loop, {SIGINT, SIGTERM}, [this] { interrupt(); })
        , m_entries(connectionsTo(options.entryServers))
        , m_direct(connectionsTo(options.directServers))
        , m_arrivals(scheduleArrivals(options.plan))
    {
        for (const load_account &account : options.plan.accounts) {
            auto &fields = m_headers.emplace_back();
            if (!account.key.empty()) {
                fields.push_back({"X-Api-Key", account.key});
            }
        }
        m_result.accounts.resize(options.plan.accounts.size());
    }

    load_result run()
    {
        m_start = loop::now();
        m_sendTimer.arm({});
        m_progressTimer.arm(m_options.progressPeriod);
        m_loop.run();
        m_result.length = loop::now() - m_start;
        return std::move(m_result);
    }

private:
    using connections = std::vector<std::unique_ptr<target_connections>>;

    connections connectionsTo(std::span<const endpoint> servers)
    {
        connections made;
        for (const endpoint &server : servers) {
            made.push_back(std::make_unique<target_connections>(m_loop, server, m_options.connectionsPerTarget));
        }
        return made;
    }

    /// Sends all requests whose scheduled time has passed and arms the timer for the next one.
    void sendDueArrivals()
    {
        while (m_nextIndex < m_arrivals.size() && m_start + m_arrivals[m_nextIndex].at <= loop::now()) {
            send(m_arrivals[m_nextIndex]);
            ++m_nextIndex;
        }
        if (m_nextIndex < m_arrivals.size()) {
            m_sendTimer.arm(m_start + m_arrivals[m_nextIndex].at - loop::now());
        } else {
            stopWhenDone();
        }
    }

    void send(const arrival &due)
    {
        const load_account &account = m_options.plan.accounts[due.account];
        const load_request &request = m_options.plan.requests[due.request];
        const instant scheduled = m_start + due.at;
        m_result.sendLateness.add(loop::now() - scheduled);
        ++m_result.unfinished;
        connections &targets = account.path == load_path::Direct ? m_direct : m_entries;
        targets[due.target]->send({.method = request.method,
                                   .target = request.target,
                                   .headers = m_headers[due.account],
                                   .deadline = scheduled + m_options.timeout,
                                   .onEnd = [this, &due, scheduled](const upstream_outcome &outcome) {
                                       --m_result.unfinished;
                                       recordOutcome(m_result, due, loadOutcomeOf(outcome), loop::now() - scheduled);
                                       stopWhenDone();
                                   }});
    }

    void stopWhenDone()
    {
        if (m_result.unfinished == 0 && m_nextIndex == m_arrivals.size()) {
            m_loop.stop();
        }
    }

    void interrupt()
    {
        m_result.interrupted = true;
        m_sendTimer.cancel();
        m_nextIndex = m_arrivals.size();
        stopWhenDone();
    }

    void reportProgress()
    {
        if (m_onProgress) {
            m_onProgress(loop::now() - m_start, m_result);
        }
        m_progressTimer.arm(m_options.progressPeriod);
    }

    const load_options &m_options; ///< Options of the load; not owned.
    const std::function<void(duration, const load_result &)> &m_onProgress; ///< May be empty; not owned.
    loop m_loop; ///< Event loop; runs on the thread that calls run().
    timer m_sendTimer; ///< Expires at the next scheduled arrival.
    timer m_progressTimer; ///< Expires when progress is due to be reported.
    signal_watch m_signals; ///< Ends the arrivals on SIGINT or SIGTERM.
    connections m_entries; ///< Connections to the entry VMs, by arrival::target.
    connections m_direct; ///< Connections to the upstreams, by arrival::target.
    const std::vector<arrival> m_arrivals; ///< Schedule, ordered by time; never changed, since pending requests hold
                                           ///< references to its elements.
    std::vector<std::vector<http_header>> m_headers; ///< Header fields of the requests, by index of the account.
    std::size_t m_nextIndex = 0; ///< Index in m_arrivals of the next request to send.
    instant m_start{}; ///< Start of the load, from which scheduled times count.
    load_result m_result; ///< Measurements so far.
};

} // namespace

load_result runLoad(const load_options &options,
                    const std::function<void(duration elapsed, const load_result &)> &onProgress)
{
    assert(options.plan.entryTargetCount == options.entryServers.size());
    assert(options.plan.directTargetCount == options.directServers.size());
    load_runner runner(options, onProgress);
    return runner.run();
}

} // namespace guavafront
