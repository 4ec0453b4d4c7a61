#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/registry/announcement.h>

#include <cstdint>

namespace guavafront
{

/// How news of an instance came to this VM.
enum class news_path : std::uint8_t {
    SpreadMap, ///< The replicated map, by any VM.
    Registrar, ///< A message of the VM that receives the announcements.
    CatchUp, ///< A control VM's answer to this VM's query.
};

/// What this VM's registry held of an instance.
struct held_instance {
    instance_state state = instance_state::Serving; ///< Lifecycle state.
    std::uint64_t sequence = 0; ///< Sequence number of its newest announcement.
    vm_id registrar; ///< VM that receives its announcements.
};

} // namespace guavafront
