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
    fleet_defaults values; ///< The new values, checked as one set.
    bool operator==(const set_defaults &) const = default; ///< Memberwise equality.
};

/// Creates a client account.
struct create_account {
    std::string name; ///< Unique name.
    bool operator==(const create_account &) const = default; ///< Memberwise equality.
};

/// Sets an account's order of kinds; all that an account manager may change.
struct set_kind_order {
    std::string accountName; ///< The account.
    std::vector<std::string> kinds; ///< Most important first, no kind twice.
    bool operator==(const set_kind_order &) const = default; ///< Memberwise equality.
};

/// Grants a key.
struct grant_key {
    std::string label; ///< Unique name of the key.
    std::string accountName; ///< Account it speaks for.
    key_hash hash{}; ///< SHA-256 of the key.
    bool operator==(const grant_key &) const = default; ///< Memberwise equality.
};

/// Withdraws a key for good.
struct withdraw_key {
    std::string label; ///< Name of the key.
    bool operator==(const withdraw_key &) const = default; ///< Memberwise equality.
};

/// Creates a route, or replaces the one with the same host and path prefix.
struct put_route {
    route value; ///< Its id is given by the control.
    bool operator==(const put_route &) const = default; ///< Memberwise equality.
};

/// Removes a route.
struct remove_route {
    std::string host; ///< Host as in the route.
    std::string pathPrefix; ///< Prefix as in the route.
    bool operator==(const remove_route &) const = default; ///< Memberwise equality.
};

/// Creates or replaces an exception.
struct put_exception {
    setting_exception value; ///< With its written reason.
    bool operator==(const put_exception &) const = default; ///< Memberwise equality.
};

/// Removes an exception, so that the default is in force again.
struct remove_exception {
    std::string subject; ///< As in the exception.
    std::string setting; ///< As in the exception.
    bool operator==(const remove_exception &) const = default; ///< Memberwise equality.
};

/// Replaces the whole configuration by one that carries a version of the operator's own: the highest one wins. Ids in
/// value are placeholders; accounts and routes that stay keep theirs.
struct replace_all {
    configuration value; ///< The new content, with externalVersion and document.
    bool operator==(const replace_all &) const = default; ///< Memberwise equality.
};

/// One operator's edit. A configuration_difference is never one: it stands for a replace_all where VMs pass changes on.
using change = std::variant<set_defaults, create_account, set_kind_order, grant_key, withdraw_key, put_route,
                            remove_route, put_exception, remove_exception, replace_all, configuration_difference>;

/// Changes that one request may hold.
constexpr std::size_t maxChangesPerRequest = 1000;

/// Edits that are accepted or rejected as one.
struct change_request {
    change_id id; ///< A resend carries the same one and gets the first answer.
    revision expectedRevision; ///< Revision the operator read; another one in force is a conflict.
    std::vector<change> changes; ///< Applied in order.
    bool operator==(const change_request &) const = default; ///< Memberwise equality.
};

/// Whether the edit's version is higher than the one in force; otherwise it changes nothing.
bool isNewer(const configuration &current, const replace_all &edit);

/// The configuration after one more revision. Throws coordination_error (ChangeInvalid, SubjectUnknown,
/// SubjectExists, ReasonMissing) and leaves nothing half applied.
configuration applyChanges(const configuration &before, std::span<const change> changes);

} // namespace guavafront
