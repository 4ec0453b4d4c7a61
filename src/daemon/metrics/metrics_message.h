#pragma once

#include <variant>

namespace guavafront
{

/// Whether the balancer should send callers to this VM.
struct readiness_changed {
    bool ready = false; ///< As /ready answers from now on.
};

/// What the metrics task reacts to.
using metrics_message = std::variant<readiness_changed>;

} // namespace guavafront
