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

/// Which children are started again when one has failed.
enum class restart_strategy : std::uint8_t {
    OneForOne, ///< Only that one.
    RestForOne, ///< That one and all that were started after it.
};

/// Settings of one supervisor.
struct supervisor_options {
    std::string name; ///< For logs.
    restart_strategy strategy = restart_strategy::OneForOne; ///< Which children a failure restarts.
    std::size_t restartLimit = 5; ///< Restarts within restartPeriod that are still put up with.
    duration restartPeriod = std::chrono::seconds(10); ///< Window of restartLimit.
};

/// A supervisor whose children failed too often; its parent decides what comes next.
struct supervisor_gave_up : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Starts children in order, each on a thread of its own, restarts failed ones and stops them in reverse order.
/// The model is OTP's supervisor behaviour (Armstrong 2003, "Making reliable distributed systems in the presence of
/// software errors", chapter 5).
class supervisor
{
public:
    /// Supervisor of the given children; nothing runs yet.
    supervisor(supervisor_options options, std::vector<child_spec> children);
    ~supervisor();
    supervisor(const supervisor &) = delete;
    supervisor &operator=(const supervisor &) = delete;

    /// Runs on owner until a stop is requested and all children have ended. Throws supervisor_gave_up.
    void run(loop &owner);

private:
    struct child_exit {
        std::size_t index; ///< Which child.
        bool failed; ///< It threw.
        std::string text; ///< What it threw.
    };

    struct child {
        child_spec spec; ///< How to run it.
        std::unique_ptr<loop> eventLoop; ///< Its loop while it runs.
        std::thread thread; ///< Its thread while it runs.
    };

    enum class phase : std::uint8_t { Running, Restarting, Stopping };

    void startFrom(std::size_t first);
    void start(std::size_t index);
    void handleExit(const child_exit &exit);
    void handleUnexpectedExit(const child_exit &exit);
    bool restartAllowed();
    void beginStop();
    void stopNext();

    supervisor_options m_options; ///< As constructed.
    std::vector<child> m_children; ///< In start order.
    mailbox<child_exit> m_exits; ///< Ends of children.
    std::deque<instant> m_restarts; ///< Times of the restarts within the period.
    std::unique_ptr<timer> m_childStopTimer; ///< Bounds the stop of one child.
    phase m_phase = phase::Running; ///< What exits mean at present.
    std::size_t m_restartFrom = 0; ///< First child to start again when m_phase is Restarting.
    bool m_gaveUp = false; ///< The limit of restarts was exceeded.
    loop *m_loop = nullptr; ///< Owner's loop during run().
};

/// A child that is itself a supervisor.
child_spec supervisorChild(supervisor_options options, std::vector<child_spec> children);

} // namespace guavafront
