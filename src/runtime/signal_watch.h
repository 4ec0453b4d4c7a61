#pragma once

#include "runtime/loop.h"

#include <functional>
#include <initializer_list>
#include <vector>

namespace guavafront
{

/// Calls an action on a loop's thread for signals of the process. SIGPIPE is ignored as a side effect.
class signal_watch
{
public:
    /// Watches from now on; the loop outlives the watch.
    signal_watch(loop &owner, std::initializer_list<int> signals, std::function<void()> action);
    ~signal_watch();
    signal_watch(const signal_watch &) = delete;
    signal_watch &operator=(const signal_watch &) = delete;

private:
    static void callback(int signal, short events, void *self);

    loop &m_loop; ///< Not owned.
    std::function<void()> m_action; ///< What to do.
    std::vector<event *> m_events; ///< Owned.
};

} // namespace guavafront
