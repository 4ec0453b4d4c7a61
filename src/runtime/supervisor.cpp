#include "runtime/supervisor.h"

#include <glog/logging.h>

#include <utility>

namespace guavafront
{

namespace
{

constexpr std::size_t exitMailboxCapacity = 1024;

} // namespace

supervisor::supervisor(supervisor_options options, std::vector<child_spec> children)
    : m_options(std::move(options))
    , m_exits(exitMailboxCapacity)
{
    for (child_spec &spec : children) {
        m_children.push_back({.spec = std::move(spec), .eventLoop = nullptr, .thread = {}});
    }
}

supervisor::~supervisor()
{
    for (child &each : m_children) {
        if (each.thread.joinable()) {
            each.eventLoop->requestStop();
            each.thread.join();
        }
    }
}

void supervisor::run(loop &owner)
{
    m_loop = &owner;
    m_phase = phase::Running;
    m_gaveUp = false;
    const mailbox_attachment<child_exit> attachment(m_exits, owner,
                                                    [this](const child_exit &exit) { handleExit(exit); });
    m_childStopTimer = std::make_unique<timer>(
        owner, [this] { LOG(FATAL) << m_options.name << ": a child did not stop within its shutdown limit"; });
    owner.onStopRequested([this] { beginStop(); });
    startFrom(0);
    owner.run();
    m_childStopTimer.reset();
    if (m_gaveUp) {
        throw supervisor_gave_up(m_options.name + ": too many restarts");
    }
}

void supervisor::startFrom(std::size_t first)
{
    for (std::size_t index = first; index < m_children.size(); ++index) {
        if (!m_children[index].thread.joinable()) {
            start(index);
        }
    }
}

void supervisor::start(std::size_t index)
{
    child &each = m_children[index];
    each.eventLoop = std::make_unique<loop>(each.spec.eventLoop);
    each.thread = std::thread([this, index, &body = each.spec.body, &eventLoop = *each.eventLoop] {
        child_exit exit{.index = index, .failed = false, .text = {}};
        try {
            body(eventLoop);
        } catch (const std::exception &failure) {
            exit.failed = true;
            exit.text = failure.what();
        }
        m_exits.post(std::move(exit));
    });
}

void supervisor::handleExit(const child_exit &exit)
{
    child &ended = m_children[exit.index];
    ended.thread.join();
    ended.eventLoop.reset();
    if (m_phase == phase::Running) {
        handleUnexpectedExit(exit);
    } else {
        if (exit.failed) {
            LOG(ERROR) << m_options.name << "/" << ended.spec.name << " failed while stopping: " << exit.text;
        }
        stopNext();
    }
}

void supervisor::handleUnexpectedExit(const child_exit &exit)
{
    const child_spec &spec = m_children[exit.index].spec;
    LOG(ERROR) << m_options.name << "/" << spec.name << (exit.failed ? " failed: " : " ended") << exit.text;
    const bool restart =
        spec.restart == restart_policy::Permanent || (spec.restart == restart_policy::Transient && exit.failed);
    if (!restart) {
        return;
    }
    if (!restartAllowed()) {
        m_gaveUp = true;
        beginStop();
    } else if (m_options.strategy == restart_strategy::OneForOne) {
        start(exit.index);
    } else {
        m_phase = phase::Restarting;
        m_restartFrom = exit.index;
        stopNext();
    }
}

bool supervisor::restartAllowed()
{
    const instant now = loop::now();
    m_restarts.push_back(now);
    while (m_restarts.front() + m_options.restartPeriod < now) {
        m_restarts.pop_front();
    }
    return m_restarts.size() <= m_options.restartLimit;
}

void supervisor::beginStop()
{
    const bool stopInProgress = m_phase != phase::Running;
    m_phase = phase::Stopping;
    m_restartFrom = 0;
    if (!stopInProgress) {
        stopNext();
    }
}

void supervisor::stopNext()
{
    // Children stop one at a time in reverse start order, so that no child outlives one that it depends on.
    for (std::size_t index = m_children.size(); index > m_restartFrom; --index) {
        child &each = m_children[index - 1];
        if (each.thread.joinable()) {
            m_childStopTimer->arm(each.spec.shutdownLimit);
            each.eventLoop->requestStop();
            return;
        }
    }
    m_childStopTimer->cancel();
    if (m_phase == phase::Stopping) {
        m_loop->stop();
        return;
    }
    m_phase = phase::Running;
    startFrom(m_restartFrom);
}

child_spec supervisorChild(supervisor_options options, std::vector<child_spec> children)
{
    std::string name = options.name;
    duration limit = std::chrono::seconds(1);
    for (const child_spec &each : children) {
        limit += each.shutdownLimit;
    }
    auto body = [options = std::move(options), children = std::move(children)](loop &owner) {
        supervisor(options, children).run(owner);
    };
    return {
        .name = std::move(name), .body = std::move(body), .restart = restart_policy::Permanent, .shutdownLimit = limit};
}

} // namespace guavafront
