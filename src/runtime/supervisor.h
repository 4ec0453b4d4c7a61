#pragma once

#include "runtime/child_spec.h"
#include "runtime/mailbox.h"
#include "runtime/timer.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace guavafront
{

/// Which children a supervisor restarts when one child has to be restarted.
enum class restart_strategy : std::uint8_t {
    OneForOne, ///< Only that child.
    RestForOne, ///< That child and all children that were started after it.
};

/// Settings of one supervisor.
struct supervisor_options {
    std::string name; ///< Name of the supervisor in logs.
    restart_strategy strategy = restart_strategy::OneForOne; ///< Which children are restarted.
    std::size_t restartLimit = 5; ///< Restarts allowed within restartPeriod; one more makes the supervisor give up.
    duration restartPeriod = std::chrono::seconds(10); ///< Sliding time window to which restartLimit applies.
};

/// Thrown by a supervisor whose children ended more often than its restart limit allows. The parent supervisor decides
/// whether to restart it.
struct supervisor_gave_up : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Starts its children in order, each on a thread of its own, restarts those that end, as their restart policy says,
/// and stops them in reverse order. The model is OTP's supervisor behaviour (Armstrong 2003, "Making reliable
/// distributed systems in the presence of software errors", chapter 5).
class supervisor
{
public:
    /// Creates a supervisor of the given children. They are started by run().
    supervisor(supervisor_options options, std::vector<child_spec> children);
    ~supervisor();
    supervisor(const supervisor &) = delete;
    supervisor &operator=(const supervisor &) = delete;

    /// Starts the children and runs the given loop until a stop is requested and all children have ended. Throws
    /// supervisor_gave_up when the restart limit was exceeded.
    void run(loop &owner);

private:
    struct child_exit {
        std::size_t index; ///< Index of the child in m_children.
        bool failed; ///< The child's body threw an exception.
        std::string text; ///< Text of the exception; empty if there was none.
    };

    struct child {
        child_spec spec; ///< How the child is run.
        std::unique_ptr<loop> eventLoop; ///< The child's loop; null while the child isn't running.
        std::thread thread; ///< The child's thread; not joinable while the child isn't running.
    };

    enum class phase : std::uint8_t { Running, Restarting, Stopping };

    void startFrom(std::size_t first);
    void start(std::size_t index);
    void handleExit(const child_exit &exit);
    void handleUnexpectedExit(const child_exit &exit);
    bool restartAllowed();
    void beginStop();
    void stopNext();

    supervisor_options m_options; ///< Settings given to the constructor.
    std::vector<child> m_children; ///< Children in the order in which they are started.
    mailbox<child_exit> m_exits; ///< Exits that the children's threads have reported.
    std::deque<instant> m_restarts; ///< Times of the restarts within restartPeriod, oldest first.
    std::unique_ptr<timer> m_childStopTimer; ///< Fires when a child exceeds its shutdownLimit.
    phase m_phase = phase::Running; ///< Decides how the exit of a child is handled.
    std::size_t m_restartFrom = 0; ///< First child to stop; when m_phase is Restarting, also the first to restart.
    bool m_gaveUp = false; ///< The restart limit was exceeded.
    loop *m_loop = nullptr; ///< Loop given to run(); not owned, null before the first run().
};

/// Returns the specification of a child that is itself a supervisor. Its shutdown limit covers those of its children.
child_spec supervisorChild(supervisor_options options, std::vector<child_spec> children);

} // namespace guavafront
