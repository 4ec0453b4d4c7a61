#pragma once

#include <guavafront/coordination/configuration/change.h>

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace guavafront
{

/// Names of repeatability in operators' JSON, in its order.
constexpr std::array<std::string_view, 3> repeatabilityNames{"by_method", "always", "never"};

/// JSON of one change, route, exception or set of defaults as operators write and read it.
nlohmann::ordered_json changeJson(const change &edit);
nlohmann::ordered_json routeJson(const route &value); ///< As above.
nlohmann::ordered_json exceptionJson(const setting_exception &value); ///< As above.
nlohmann::ordered_json defaultsJson(const fleet_defaults &values); ///< As above.

} // namespace guavafront
