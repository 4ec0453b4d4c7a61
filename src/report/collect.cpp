#include "report/collect.h"

#include "load/target_connections.h"
#include "report/exposition.h"
#include "runtime/signal_watch.h"
#include "runtime/timer.h"

#include <chrono>
#include <csignal>
#include <memory>

namespace guavafront
{

namespace
{

constexpr int statusOk = 200;

duration sinceUnixEpoch()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now);
}

/// Reads the metrics pages of all sources in rounds, on an event loop of its own.
class metrics_collector
{
public:
    metrics_collector(const collect_options &options, const std::function<void(const metrics_sample &)> &onSample,
                      const std::function<void(const endpoint &)> &onFailure)
        : m_options(options)
        , m_onSample(onSample)
        , m_onFailure(onFailure)
        , m_nextRound(m_loop, [this] { beginRound(); })
        , m_signals(m_loop, {SIGINT, SIGTERM}, [this] { stopRounds(); })
        , m_roundsLeft(options.rounds)
    {
        for (const endpoint &source : options.sources) {
            m_connections.push_back(std::make_unique<target_connections>(m_loop, source, 1));
        }
    }

    void run()
    {
        m_nextRound.arm({});
        m_loop.run();
    }

private:
    void beginRound()
    {
        --m_roundsLeft;
        if (m_roundsLeft > 0) {
            m_nextRound.arm(m_options.interval);
        }
        for (std::size_t index = 0; index < m_connections.size(); ++index) {
            ++m_pendingReadings;
            m_connections[index]->send({.method = "GET",
                                        .target = "/metrics",
                                        .headers = {},
                                        .deadline = loop::now() + m_options.interval,
                                        .onEnd = [this, index](const upstream_outcome &outcome) {
                                            handleOutcome(m_options.sources[index], outcome);
                                        }});
        }
    }

    void handleOutcome(const endpoint &source, const upstream_outcome &outcome)
    {
        if (outcome.result == upstream_result::Answered && outcome.answer.status == statusOk) {
            m_onSample({.source = toText(source),
                        .at = sinceUnixEpoch(),
                        .lines = burnMetricLines(textOf(outcome.answer.body))});
        } else {
            m_onFailure(source);
        }
        --m_pendingReadings;
        stopWhenDone();
    }

    void stopRounds()
    {
        m_nextRound.cancel();
        m_roundsLeft = 0;
        stopWhenDone();
    }

    void stopWhenDone()
    {
        if (m_roundsLeft == 0 && m_pendingReadings == 0) {
            m_loop.stop();
        }
    }

    const collect_options &m_options; ///< Not owned.
    const std::function<void(const metrics_sample &)> &m_onSample; ///< Not owned.
    const std::function<void(const endpoint &)> &m_onFailure; ///< Not owned.
    loop m_loop; ///< Event loop, which runs on the thread that calls run().
    timer m_nextRound; ///< Starts the next round.
    signal_watch m_signals; ///< Calls stopRounds() on SIGINT and SIGTERM.
    std::vector<std::unique_ptr<target_connections>> m_connections; ///< In the order of the sources.
    std::size_t m_roundsLeft; ///< Number of rounds that have not started yet.
    std::size_t m_pendingReadings = 0; ///< Number of readings that have started and not ended.
};

} // namespace

void collectSamples(const collect_options &options, const std::function<void(const metrics_sample &)> &onSample,
                    const std::function<void(const endpoint &)> &onFailure)
{
    metrics_collector rounds(options, onSample, onFailure);
    rounds.run();
}

} // namespace guavafront
