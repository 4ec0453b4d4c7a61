#pragma once

#include "wire/envelope.h"

#include <guavafront/coordination/configuration/configuration.h>

#include <memory>
#include <variant>

namespace guavafront
{

/// Another VM sent a message on the Configuration channel.
struct configuration_from_peer {
    vm_id from; ///< Sender.
    envelope message; ///< What it sent.
};

/// The control on this VM accepted a revision.
struct configuration_accepted {
    std::shared_ptr<const configuration> value; ///< Never null.
};

/// A task of this VM has started and holds no configuration: all subscribers are told of the one in force again.
struct configuration_wanted {
};

/// What the configuration task reacts to.
using configuration_message = std::variant<configuration_from_peer, configuration_accepted, configuration_wanted>;

} // namespace guavafront
