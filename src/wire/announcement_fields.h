#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <optional>
#include <string>
#include <string_view>

namespace guavafront
{

/// Describes the first field of an announcement that is out of range, as "field: allowed values"; nothing when all are
/// valid.
std::optional<std::string> findFault(const announcement &value);

/// Lower-case name of a state, as announcements carry it in JSON and CBOR.
std::string_view stateName(instance_state state);

/// State with the given lower-case name; nothing when no state has it.
std::optional<instance_state> parseState(std::string_view name);

} // namespace guavafront
