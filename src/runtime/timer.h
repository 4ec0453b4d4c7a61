#pragma once

#include "runtime/loop.h"

#include <functional>

namespace guavafront
{

/// One-shot timer on a loop; destroyed or cancelled, it never fires. Loop's thread only.
class timer
{
public:
    /// Timer that calls action on the loop's thread; not armed. The loop outlives the timer.
    timer(loop &owner, std::function<void()> action);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Fires once after delay (not before); re-arming replaces an earlier delay.
    void arm(duration delay);

    /// Doesn't fire any more until armed again.
    void cancel();

private:
    static void callback(int descriptor, short events, void *self);

    loop &m_loop; ///< Not owned.
    std::function<void()> m_action; ///< What to do.
    event *m_event; ///< Owned.
};

} // namespace guavafront
