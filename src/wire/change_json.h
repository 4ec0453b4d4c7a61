#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <nlohmann/json.hpp>

namespace guavafront
{

/// Array form of one account, key, route, exception or set of defaults; the readers throw coordination_error
/// (MessageMalformed).
nlohmann::json toJson(const fleet_defaults &values);
nlohmann::json toJson(const account &value); ///< As above.
nlohmann::json toJson(const account_key &value); ///< As above.
nlohmann::json toJson(const route &value); ///< As above.
nlohmann::json toJson(const setting_exception &value); ///< As above.
nlohmann::json toJson(const caller_limits &value); ///< As above.
fleet_defaults defaultsFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
account accountFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
account_key keyFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
route routeFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
setting_exception exceptionFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.
caller_limits limitsFromJson(const nlohmann::json &value); ///< Reads what toJson() wrote.

/// Array form of one change: its tag, then its fields.
nlohmann::json toJson(const change &edit);

/// Reads what toJson() wrote.
change changeFromJson(const nlohmann::json &value);

} // namespace guavafront
