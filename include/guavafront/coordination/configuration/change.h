#pragma once

#include <guavafront/coordination/configuration/configuration.h>
#include <guavafront/coordination/configuration/configuration_difference.h>

#include <cstddef>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace guavafront
{

/// Replaces all fleet-wide defaults.
struct set_defaults {
    fleet_defaults values; ///< New values, validated as one set.
    bool operator==(const set_defaults &) const = default; ///< Memberwise equality.
};

/// Creates a client account.
struct create_account {
    std::string name; ///< Name of the account, unique in the configuration.
    bool operator==(const create_account &) const = default; ///< Memberwise equality.
};

/// Sets the order of importance of an account's kinds of requests. The only change that an account manager may make.
struct set_kind_order {
    std::string accountName; ///< Name of the account.
    std::vector<std::string> kinds; ///< Kinds, most important first, none of them twice.
    bool operator==(const set_kind_order &) const = default; ///< Memberwise equality.
};

/// Adds a key to a client account.
struct grant_key {
    std::string label; ///< Name of the key, unique in the configuration.
    std::string accountName; ///< Name of the account that requests with the key belong to.
    key_hash hash{}; ///< SHA-256 of the key.
    bool operator==(const grant_key &) const = default; ///< Memberwise equality.
};

/// Removes a key for good.
struct withdraw_key {
    std::string label; ///< Name of the key.
    bool operator==(const withdraw_key &) const = default; ///< Memberwise equality.
};

/// Creates a route, or replaces the one with the same host and path prefix.
struct put_route {
    route value; ///< The route. Its id is ignored: a new route gets the next id, a replaced one keeps its id.
    bool operator==(const put_route &) const = default; ///< Memberwise equality.
};

/// Removes a route.
struct remove_route {
    std::string host; ///< Host of the route.
    std::string pathPrefix; ///< Path prefix of the route; trailing slashes don't matter.
    bool operator==(const remove_route &) const = default; ///< Memberwise equality.
};

/// Creates or replaces an exception from a default.
struct put_exception {
    setting_exception value; ///< The exception, with its written reason.
    bool operator==(const put_exception &) const = default; ///< Memberwise equality.
};

/// Removes an exception, so that the default is in force again.
struct remove_exception {
    std::string subject; ///< Subject of the exception, "account:NAME" or "service:NAME".
    std::string setting; ///< Name of the setting.
    bool operator==(const remove_exception &) const = default; ///< Memberwise equality.
};

/// Replaces the whole configuration by one that carries a version number of an outside operator; the highest version
/// wins. Evacuations stay as they are. The ids in value are placeholders: accounts and routes that exist already keep
/// their ids, others get new ones.
struct replace_all {
    configuration value; ///< New content, with externalVersion and document.
    bool operator==(const replace_all &) const = default; ///< Memberwise equality.
};

/// One edit of the configuration. Operators never send a configuration_difference: it takes the place of a replace_all
/// when VMs pass accepted changes on to each other.
using change =
    std::variant<set_defaults, create_account, set_kind_order, grant_key, withdraw_key, put_route, remove_route,
                 put_exception, remove_exception, replace_all, configuration_difference, evacuation_order>;

/// Maximum number of changes in one request.
constexpr std::size_t maxChangesPerRequest = 1000;

/// Changes that are accepted or rejected together.
struct change_request {
    change_id id; ///< Request ID. A resend carries the same ID and gets the first answer again.
    revision expectedRevision; ///< Revision that the operator's edit is based on; any other one in force is a conflict.
    std::vector<change> changes; ///< Changes, applied in order.
    bool operator==(const change_request &) const = default; ///< Memberwise equality.
};

/// Whether the edit's external version is higher than the one in force. An edit that isn't newer changes nothing.
bool isNewer(const configuration &current, const replace_all &edit);

/// Returns the next revision of the configuration, with all changes applied. Throws coordination_error (ChangeInvalid,
/// SubjectUnknown, SubjectExists, ReasonMissing) when a change can't be applied or the result is invalid.
configuration applyChanges(const configuration &before, std::span<const change> changes);

} // namespace guavafront
