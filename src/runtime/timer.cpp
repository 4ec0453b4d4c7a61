#include "runtime/timer.h"

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

timer::timer(loop &owner, std::function<void()> action)
    : m_loop(owner)
    , m_action(std::move(action))
    , m_event(evtimer_new(owner.base(), callback, this))
{
}

timer::~timer()
{
    event_free(m_event);
}

void timer::arm(duration delay)
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    const std::int64_t total = std::max<std::int64_t>(delay.count(), 0);
    const timeval wait{.tv_sec = total / microsecondsPerSecond, .tv_usec = total % microsecondsPerSecond};
    evtimer_add(m_event, &wait);
}

void timer::cancel()
{
    evtimer_del(m_event);
}

void timer::callback(int /*descriptor*/, short /*events*/, void *self)
{
    auto *owner = static_cast<timer *>(self);
    owner->m_loop.guard([owner] { owner->m_action(); });
}

} // namespace guavafront
