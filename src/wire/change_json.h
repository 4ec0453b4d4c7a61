#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <nlohmann/json.hpp>

namespace guavafront
{

/// Encodes a value as an array of its fields, which is how the replicated log and messages between VMs carry it. The
/// functions that read such an array throw coordination_error (MessageMalformed).
nlohmann::json toJson(const fleet_defaults &values);
nlohmann::json toJson(const account &value); ///< Encodes a client account as an array.
nlohmann::json toJson(const account_key &value); ///< Encodes an API key as an array.
nlohmann::json toJson(const route &value); ///< Encodes a route as an array.
nlohmann::json toJson(const setting_exception &value); ///< Encodes an exception from a default as an array.
nlohmann::json toJson(const caller_limits &value); ///< Encodes the limits of callers as an array.
nlohmann::json toJson(const service_warmup &value); ///< Encodes the limit of cold instances as an array.
fleet_defaults defaultsFromJson(const nlohmann::json &value); ///< Reads the array of a set of defaults.
account accountFromJson(const nlohmann::json &value); ///< Reads the array of a client account.
account_key keyFromJson(const nlohmann::json &value); ///< Reads the array of an API key.
route routeFromJson(const nlohmann::json &value); ///< Reads the array of a route.
setting_exception exceptionFromJson(const nlohmann::json &value); ///< Reads the array of an exception.
nlohmann::json toJson(const evacuation &value); ///< Encodes the orders about a data centre as an array.
caller_limits limitsFromJson(const nlohmann::json &value); ///< Reads the array of the limits of callers.
evacuation evacuationFromJson(const nlohmann::json &value); ///< Reads the array of the orders about a data centre.
service_warmup warmupFromJson(const nlohmann::json &value); ///< Reads the array of a limit of cold instances.

/// Encodes a change as an array of its tag and the array of its fields. The tag is the position in the variant.
nlohmann::json toJson(const change &edit);

/// Reads the array of a change.
change changeFromJson(const nlohmann::json &value);

} // namespace guavafront
