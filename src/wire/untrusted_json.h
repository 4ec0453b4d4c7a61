#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace guavafront
{

/// Deepest nesting of arrays and objects that a JSON text from outside may have.
constexpr std::size_t maxJsonDepth = 32;

/// Parses a JSON text from outside. Returns a discarded value for a text that is malformed or nested deeper than
/// maxJsonDepth. The depth is checked before the text is parsed, in one pass without memory of its own, so that a deep
/// text costs neither the time nor the memory of its values.
nlohmann::json parseUntrustedJson(std::string_view text);

} // namespace guavafront
