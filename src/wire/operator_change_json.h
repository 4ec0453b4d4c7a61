#pragma once

#include <guavafront/coordination/configuration/change.h>

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Names of the enumerators of repeatability in operators' JSON, in the order of the enumerators.
constexpr std::array<std::string_view, 3> repeatabilityNames{"by_method", "always", "never"};

/// Encodes a change as the JSON object that operators write and read.
nlohmann::ordered_json changeJson(const change &edit);
nlohmann::ordered_json routeJson(const route &value); ///< Encodes a route for operators.
nlohmann::ordered_json exceptionJson(const setting_exception &value); ///< Encodes an exception for operators.
nlohmann::ordered_json defaultsJson(const fleet_defaults &values); ///< Encodes defaults for operators.

nlohmann::ordered_json evacuationsJson(const std::vector<evacuation> &list); ///< Encodes evacuations for operators.

} // namespace guavafront
