#include "runtime/loop.h"

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ctime>
#include <stdexcept>
#include <utility>

namespace guavafront
{

namespace
{

/// Number of normal events that are handled before urgent ones are looked for.
constexpr int maxNormalEvents = 8;
constexpr int priorities = 2;

event_base *makeBase(const loop_options &loopOptions)
{
    const std::unique_ptr<event_config, decltype(&event_config_free)> options(event_config_new(), event_config_free);
    if (!options) {
        return nullptr;
    }
    if (loopOptions.precision == timer_precision::Microseconds) {
        event_config_set_flag(options.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    }
    if (loopOptions.urgentFirst) {
        event_config_set_max_dispatch_interval(options.get(), nullptr, maxNormalEvents,
                                               static_cast<int>(event_urgency::Normal));
    }
    event_base *base = event_base_new_with_config(options.get());
    if (base != nullptr) {
        event_base_priority_init(base, priorities); // New events get the lower one.
    }
    return base;
}

} // namespace

void loop::event_deleter::operator()(event *owned) const
{
    event_free(owned);
}

loop::loop(const loop_options &options)
    : m_base(makeBase(options))
    , m_wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_stopHandler([this] { stop(); })
{
    if (!m_base || m_wakeDescriptor < 0) {
        throw std::runtime_error("no file descriptors left for an event loop");
    }
    m_wakeEvent.reset(event_new(m_base, m_wakeDescriptor, EV_READ | EV_PERSIST, wakeCallback, this));
    event_add(m_wakeEvent.get(), nullptr);
}

loop::~loop()
{
    m_wakeEvent.reset();
    event_base_free(m_base);
    close(m_wakeDescriptor);
}

event_base *loop::base() const
{
    return m_base;
}

instant loop::now()
{
    // Unlike the steady clock, the boot-time clock counts the time during which a VM is suspended, so that leases and
    // fleet views age during a suspension.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec)
                                                        + std::chrono::nanoseconds(time.tv_nsec)));
}

void loop::run()
{
    if (!m_failure) {
        event_base_dispatch(m_base);
    }
    if (m_failure) {
        std::rethrow_exception(std::exchange(m_failure, nullptr));
    }
}

void loop::stop()
{
    event_base_loopbreak(m_base);
}

void loop::requestStop()
{
    eventfd_write(m_wakeDescriptor, 1);
}

void loop::onStopRequested(std::function<void()> handler)
{
    m_stopHandler = std::move(handler);
}

void loop::wakeCallback(int descriptor, short /*events*/, void *self)
{
    eventfd_t count = 0;
    eventfd_read(descriptor, &count);
    auto *owner = static_cast<loop *>(self);
    owner->guard([owner] { owner->m_stopHandler(); });
}

void loop::fail(std::exception_ptr failure) noexcept
{
    if (!m_failure) {
        m_failure = std::move(failure);
    }
    event_base_loopbreak(m_base);
}

} // namespace guavafront
