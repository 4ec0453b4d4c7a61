#pragma once

#include <variant>

namespace guavafront
{

/// Whether the load balancer should send callers to this VM has changed.
struct readiness_changed {
    bool ready = false; ///< What the ready path answers from now on.
};

/// Every message that the metrics task handles.
using metrics_message = std::variant<readiness_changed>;

} // namespace guavafront
