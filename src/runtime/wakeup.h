#pragma once

#include "runtime/loop.h"

#include <functional>

namespace guavafront
{

/// Wakes a loop from any thread. notify() may be called at any time; the action runs while attached.
class wakeup
{
public:
    /// Wakeup with no loop. Throws std::runtime_error when the kernel has no descriptors left.
    wakeup();
    ~wakeup();
    wakeup(const wakeup &) = delete;
    wakeup &operator=(const wakeup &) = delete;

    /// From now on action runs on owner's thread after each notify(), and once for those before.
    void attach(loop &owner, std::function<void()> action);

    /// The action doesn't run any more. Loop's thread only.
    void detach();

    /// Wakes the loop. Any thread.
    void notify();

private:
    static void callback(int descriptor, short events, void *self);

    int m_descriptor; ///< eventfd.
    loop *m_loop = nullptr; ///< Not owned; null while detached.
    event *m_event = nullptr; ///< Owned while attached.
    std::function<void()> m_action; ///< What to do.
};

} // namespace guavafront
