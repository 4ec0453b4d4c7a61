#pragma once

#include "wire/load_codec.h"

#include <guavafront/coordination/evidence/evidence_relay.h>

#include <variant>
#include <vector>

namespace guavafront
{

/// Another VM sent loads of upstream instances.
struct loads_received {
    vm_id from; ///< VM that sent the loads.
    load_message message; ///< Loads and the stage of their distribution.
    bool withWork = false; ///< The message has workVersion, so that its sender can decode it.
};

/// Another VM sent evidence on upstream instances.
struct evidence_from_peer {
    evidence_message message; ///< The evidence.
};

/// The set of live VMs has changed.
struct hub_fleet_changed {
    std::vector<fleet_vm> others; ///< Live VMs without this one, ordered by id.
};

/// Messages that the hub task receives.
using hub_message = std::variant<loads_received, evidence_from_peer, hub_fleet_changed>;

} // namespace guavafront
