#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// What turns one configuration into a later one, without the operator's document: what VMs need that serve by it. Two
/// configurations of thousands of routes mostly differ in a few.
struct configuration_difference {
    std::optional<fleet_defaults> defaults; ///< New values; nothing where they stay.
    std::optional<caller_limits> limits; ///< New bounds; nothing where they stay.
    std::optional<std::vector<setting_exception>> exceptions; ///< The whole new list; nothing where it stays.
    std::vector<account_id> removedAccounts; ///< Accounts that are gone, ordered.
    std::vector<account> accounts; ///< New and changed ones, ordered by id.
    std::vector<std::string> removedKeys; ///< Labels of keys that are gone, ordered.
    std::vector<account_key> keys; ///< New and changed ones, ordered by label.
    std::vector<route_id> removedRoutes; ///< Routes that are gone, ordered.
    std::vector<route> routes; ///< New and changed ones, ordered by id.
    account_id lastAccountId; ///< Highest account id ever given.
    route_id lastRouteId; ///< Highest route id ever given.
    std::uint64_t externalVersion = 0; ///< Of the later configuration.

    /// Memberwise equality.
    bool operator==(const configuration_difference &) const = default;
};

/// The difference between two configurations. Lists of both are in the order that configuration asks for.
configuration_difference differenceBetween(const configuration &before, const configuration &after);

/// Applies a difference to the configuration it was made from, but for its revision. The document is left empty.
void applyDifference(configuration &current, const configuration_difference &difference);

} // namespace guavafront
