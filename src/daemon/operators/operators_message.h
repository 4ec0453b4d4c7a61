#pragma once

#include "daemon/control/control_message.h"

#include <guavafront/coordination/configuration/confirmations.h>
#include <guavafront/coordination/entry/entry_event.h>

#include <variant>

namespace guavafront
{

/// The control's answer to a change.
struct change_answered {
    exchange_id id; ///< Operator's request.
    change_answer answer; ///< Answer.
};

/// The control's answer to a question for its status.
struct status_answered {
    exchange_id id; ///< Operator's request.
    control_status status; ///< Answer.
};

/// The configuration task's answer to how far a revision has come.
struct confirmation_answered {
    exchange_id id; ///< Operator's request.
    revision wanted; ///< What was asked about.
    confirmation_status status; ///< Answer.
};

/// What the operators task reacts to.
using operators_message =
    std::variant<change_answered, status_answered, confirmation_answered, death_reported, release_reported>;

} // namespace guavafront
