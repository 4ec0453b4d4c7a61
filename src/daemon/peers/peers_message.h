#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/core/identifiers.h>

#include <variant>

namespace guavafront
{

/// Send to one VM; dropped, and counted, when there is no way to it.
struct send_to_vm {
    vm_id to; ///< Receiver.
    envelope message; ///< What to send.
};

/// Send to every seed of the settings.
struct send_to_seeds {
    envelope message; ///< What to send.
};

/// Send to every VM with a ready link.
struct send_to_linked {
    envelope message; ///< What to send.
};

/// What other tasks ask of the peers task.
using peers_message = std::variant<send_to_vm, send_to_seeds, send_to_linked>;

} // namespace guavafront
