#pragma once

#include <guavafront/coordination/core/time.h>

#include <atomic>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

struct event;
struct event_base;

namespace guavafront
{

/// Precision of a loop's timers.
enum class timer_precision : std::uint8_t {
    Milliseconds, ///< Timers fire up to 1 ms late. Saves one system call in each iteration of the loop.
    Microseconds, ///< Timers are as precise as the kernel's.
};

/// Order in which a loop handles events that have come.
enum class event_urgency : std::uint8_t {
    Urgent, ///< Before all others that have come. See also loop_options::urgentFirst.
    Normal, ///< In the order in which they came.
};

/// Settings of a loop.
struct loop_options {
    timer_precision precision = timer_precision::Milliseconds; ///< Precision of its timers.
    bool urgentFirst = false; ///< Looks for urgent events after every few normal ones. Costs a system call each time.
};

/// A libevent loop that is run by one thread. Only requestStop() may be called from other threads.
class loop
{
public:
    /// Creates a loop without events. Throws std::runtime_error when no file descriptors are left.
    explicit loop(const loop_options &options = {});
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    /// Returns the libevent base, which the loop owns.
    event_base *base() const;

    /// Returns the VM's monotonic time since boot, which includes the time during which the VM was suspended.
    static instant now();

    /// Runs until stop() is called. Rethrows the first exception that a callback threw.
    void run();

    /// Makes run() return after the current callback. Call it on the loop's thread only.
    void stop();

    /// Makes the loop call its stop handler on the loop's thread. May be called from any thread.
    void requestStop();

    /// Replaces the stop handler. The default handler calls stop(); a handler that first drains its work calls stop()
    /// once that is done.
    void onStopRequested(std::function<void()> handler);

    /// Runs the body of a callback. If it throws, the exception is stored and run() rethrows it, since an exception
    /// can't pass through libevent's C stack frames.
    template<class body>
    void guard(const body &run) noexcept
    {
        try {
            run();
        } catch (...) {
            fail(std::current_exception());
        }
    }

private:
    struct event_deleter {
        void operator()(event *owned) const;
    };

    static void wakeCallback(int descriptor, short events, void *self);
    void fail(std::exception_ptr failure) noexcept;

    event_base *m_base = nullptr; ///< libevent base; owned.
    int m_wakeDescriptor = -1; ///< eventfd that requestStop() writes to.
    std::unique_ptr<event, event_deleter> m_wakeEvent; ///< Fires when m_wakeDescriptor is readable.
    std::function<void()> m_stopHandler; ///< Called on the loop's thread after requestStop().
    std::exception_ptr m_failure; ///< First exception that a callback threw; run() rethrows it.
};

} // namespace guavafront
