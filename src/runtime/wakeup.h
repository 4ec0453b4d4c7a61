#pragma once

#include "runtime/loop.h"

#include <functional>

namespace guavafront
{

/// Wakes a loop from any thread. notify() may be called at any time; the action runs only while a loop is attached.
class wakeup
{
public:
    /// Creates a wakeup without a loop. Throws std::runtime_error when no file descriptors are left.
    wakeup();
    ~wakeup();
    wakeup(const wakeup &) = delete;
    wakeup &operator=(const wakeup &) = delete;

    /// Runs action on the given loop's thread after notify() until detach(), and once if notify() was called while no
    /// loop was attached. Several notifications may be answered by one run.
    void attach(loop &owner, std::function<void()> action, event_urgency urgency = event_urgency::Normal);

    /// Stops running the action. Call it on the loop's thread only.
    void detach();

    /// Wakes the loop. May be called from any thread.
    void notify();

private:
    static void callback(int descriptor, short events, void *self);

    int m_descriptor; ///< eventfd that notify() writes to.
    loop *m_loop = nullptr; ///< Attached loop; not owned, null while detached.
    event *m_event = nullptr; ///< Fires when m_descriptor is readable; owned, null while detached.
    std::function<void()> m_action; ///< Called on the loop's thread after notify().
};

} // namespace guavafront
