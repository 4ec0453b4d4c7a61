#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <cstdint>
#include <string>

namespace guavafront
{

/// An upstream instance's word that it takes no more requests. It names the instance as the instance names itself, so
/// that it can be applied by VMs that haven't heard of the instance yet.
struct departure {
    std::string name; ///< Name of the instance.
    std::uint64_t processStartMs = 0; ///< Start of its process in Unix milliseconds; 0 matches the newest start.
    std::uint64_t sequence = 0; ///< Number of the announcement that said it; not used for Leaving.
    instance_state state = instance_state::Leaving; ///< Draining, which a later announcement ends, or Leaving, which
                                                    ///< is final.
    bool operator==(const departure &) const = default; ///< Memberwise equality.
};

} // namespace guavafront
