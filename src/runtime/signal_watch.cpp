#include "runtime/signal_watch.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace guavafront
{

signal_watch::signal_watch(loop &owner, std::initializer_list<int> signals, std::function<void()> action)
    : m_loop(owner)
    , m_action(std::move(action))
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN); // The write that exceeds a limit of the file size fails with EFBIG.
    for (const int number : signals) {
        m_events.push_back(evsignal_new(owner.base(), number, callback, this));
        evsignal_add(m_events.back(), nullptr);
    }
}

signal_watch::~signal_watch()
{
    for (event *each : m_events) {
        event_free(each);
    }
}

void signal_watch::callback(int /*signal*/, short /*events*/, void *self)
{
    auto *owner = static_cast<signal_watch *>(self);
    owner->m_loop.guard([owner] { owner->m_action(); });
}

} // namespace guavafront
