#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <optional>
#include <string>
#include <string_view>

namespace guavafront
{

/// What is wrong with an announcement from outside; nothing when it may be taken.
std::optional<std::string> findFault(const announcement &value);

/// Lower-case name of a state, as on the wire.
std::string_view stateName(instance_state state);

/// The state with that name; nothing when unknown.
std::optional<instance_state> parseState(std::string_view name);

} // namespace guavafront
