#pragma once

#include "daemon/control/control_message.h"

#include <guavafront/coordination/configuration/confirmations.h>
#include <guavafront/coordination/entry/entry_event.h>

#include <variant>

namespace guavafront
{

/// The control task answered a change.
struct change_answered {
    exchange_id id; ///< Request of the operator.
    change_answer answer; ///< Answer of the control task.
};

/// The control task answered a request for its status.
struct status_answered {
    exchange_id id; ///< Request of the operator.
    control_status status; ///< Status of the control cluster.
};

/// The configuration task answered on which entry VMs a revision is in force.
struct confirmation_answered {
    exchange_id id; ///< Request of the operator.
    revision wanted; ///< Revision that was asked about.
    confirmation_status status; ///< Entry VMs that have or haven't confirmed the revision.
};

/// Every message that the operators task handles.
using operators_message =
    std::variant<change_answered, status_answered, confirmation_answered, death_reported, release_reported>;

} // namespace guavafront
