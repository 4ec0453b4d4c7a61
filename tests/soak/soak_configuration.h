#pragma once

#include "soak/soak_plan.h"

#include <span>
#include <string>

namespace guavafront
{

/// Path prefix of a later route.
std::string prefixOf(int route);

/// Path prefix of the route that only a configuration with this index holds, which must not be in force.
std::string baitPrefixOf(int route);

/// The operator's document for a change under a version. Its hosts are those under which clients reach the entry VMs.
std::string documentOf(const planned_change &change, std::uint64_t version, std::span<const std::string> hosts);

} // namespace guavafront
