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

/// How exactly a loop's timers fire.
enum class timer_precision : std::uint8_t {
    Milliseconds, ///< Up to a millisecond late: one system call less in each round.
    Microseconds, ///< As exact as the kernel's timers.
};

/// One libevent loop, run by one thread. Only requestStop() may be called from another thread.
class loop
{
public:
    /// Loop with no events. Throws std::runtime_error when the kernel has no descriptors left.
    explicit loop(timer_precision precision = timer_precision::Milliseconds);
    ~loop();
    loop(const loop &) = delete;
    loop &operator=(const loop &) = delete;

    /// The libevent base, owned by the loop.
    event_base *base() const;

    /// The VM's monotonic time.
    static instant now();

    /// Runs until stop(); rethrows the first exception that a callback threw.
    void run();

    /// Ends run() after the current callback. Loop's thread only.
    void stop();

    /// Asks the loop to stop, from any thread: calls the stop handler on the loop's thread.
    void requestStop();

    /// Replaces the stop handler, which by default calls stop(). A handler that drains first calls stop() when done.
    void onStopRequested(std::function<void()> handler);

    /// Runs a callback's body; keeps its exception for run(), since libevent's C frames can't carry it.
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

    event_base *m_base = nullptr; ///< Owned.
    int m_wakeDescriptor = -1; ///< eventfd written by requestStop().
    std::unique_ptr<event, event_deleter> m_wakeEvent; ///< Reads m_wakeDescriptor.
    std::function<void()> m_stopHandler; ///< Runs on the loop's thread.
    std::exception_ptr m_failure; ///< First exception of a callback.
};

} // namespace guavafront
