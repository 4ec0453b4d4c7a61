#pragma once

#include "runtime/loop.h"

#include <functional>

namespace guavafront
{

/// One-shot timer on a loop. It doesn't fire after it has been cancelled or destroyed. Use it on the loop's thread
/// only.
class timer
{
public:
    /// Creates an unarmed timer that calls action on the loop's thread. The loop must outlive the timer.
    timer(loop &owner, std::function<void()> action);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Makes the timer fire once, not before delay has passed. Arming it again replaces the earlier delay.
    void arm(duration delay);

    /// Disarms the timer; it doesn't fire until it is armed again.
    void cancel();

private:
    static void callback(int descriptor, short events, void *self);

    loop &m_loop; ///< Loop that runs the timer; not owned.
    std::function<void()> m_action; ///< Called when the timer fires.
    event *m_event; ///< libevent timer; owned.
};

} // namespace guavafront
