#pragma once

#include "runtime/loop.h"

#include <functional>
#include <initializer_list>
#include <vector>

namespace guavafront
{

/// Calls an action on a loop's thread when the process receives one of the given signals. As a side effect the process
/// ignores SIGPIPE and SIGXFSZ.
class signal_watch
{
public:
    /// Starts to watch the signals. The loop must outlive the watch.
    signal_watch(loop &owner, std::initializer_list<int> signals, std::function<void()> action);
    ~signal_watch();
    signal_watch(const signal_watch &) = delete;
    signal_watch &operator=(const signal_watch &) = delete;

private:
    static void callback(int signal, short events, void *self);

    loop &m_loop; ///< Loop on whose thread the action runs; not owned.
    std::function<void()> m_action; ///< Called when one of the signals arrives.
    std::vector<event *> m_events; ///< One libevent event for each signal; owned.
};

} // namespace guavafront
