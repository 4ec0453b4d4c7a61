#pragma once

#include <string>
#include <vector>

namespace guavafront
{

/// The other live VMs have changed.
struct live_addresses_changed {
    std::vector<std::string> addresses; ///< Peer addresses of the other live VMs, most important first.
};

} // namespace guavafront
