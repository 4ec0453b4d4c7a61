#pragma once

#include "runtime/loop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace guavafront
{

/// When a supervisor restarts a child that has ended.
enum class restart_policy : std::uint8_t {
    Permanent, ///< Restarted whenever it ends.
    Transient, ///< Restarted only after a failure, not after a normal return.
    Temporary, ///< Never restarted.
};

/// Describes how to run one child of a supervisor. The child is a task or another supervisor.
struct child_spec {
    std::string name; ///< Name of the child in logs.

    /// Body of the child, called on the child's own thread. It builds the child's state and sockets, runs the loop
    /// until that is stopped and returns. It throws when the child fails.
    std::function<void(loop &)> body;

    loop_options eventLoop; ///< Settings of the child's loop.
    restart_policy restart = restart_policy::Permanent; ///< When the child is restarted.
    /// Time that the child has to end after a stop request. A child that runs longer aborts the whole process.
    duration shutdownLimit = std::chrono::seconds(10);
};

} // namespace guavafront
