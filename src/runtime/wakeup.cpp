#include "runtime/wakeup.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace guavafront
{

wakeup::wakeup()
    : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0) {
        throw std::runtime_error("no file descriptors left for a mailbox");
    }
}

wakeup::~wakeup()
{
    detach();
    close(m_descriptor);
}

void wakeup::attach(loop &owner, std::function<void()> action, event_urgency urgency)
{
    detach();
    m_loop = &owner;
    m_action = std::move(action);
    m_event = event_new(owner.base(), m_descriptor, EV_READ | EV_PERSIST, callback, this);
    event_priority_set(m_event, static_cast<int>(urgency));
    event_add(m_event, nullptr);
}

void wakeup::detach()
{
    if (m_event) {
        event_free(std::exchange(m_event, nullptr));
        m_loop = nullptr;
    }
}

void wakeup::notify()
{
    eventfd_write(m_descriptor, 1);
}

void wakeup::callback(int descriptor, short /*events*/, void *self)
{
    eventfd_t count = 0;
    eventfd_read(descriptor, &count);
    auto *owner = static_cast<wakeup *>(self);
    owner->m_loop->guard([owner] { owner->m_action(); });
}

} // namespace guavafront
