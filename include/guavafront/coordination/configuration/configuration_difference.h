#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavafront
{

/// Difference between two configurations, without the outside operator's document, which VMs that only serve requests
/// don't need. Sent in place of a whole configuration, since successive configurations of thousands of routes mostly
/// differ in a few.
struct configuration_difference {
    std::optional<fleet_defaults> defaults; ///< New defaults; empty when unchanged.
    std::optional<caller_limits> limits; ///< New limits; empty when unchanged.
    std::optional<std::vector<setting_exception>> exceptions; ///< The whole new list; empty when unchanged.
    std::vector<account_id> removedAccounts; ///< Ids of removed accounts, ordered.
    std::vector<account> accounts; ///< New and changed accounts, ordered by id.
    std::vector<std::string> removedKeys; ///< Labels of removed keys, ordered.
    std::vector<account_key> keys; ///< New and changed keys, ordered by label.
    std::vector<route_id> removedRoutes; ///< Ids of removed routes, ordered.
    std::vector<route> routes; ///< New and changed routes, ordered by id.
    account_id lastAccountId; ///< Highest account id ever assigned.
    route_id lastRouteId; ///< Highest route id ever assigned.
    std::uint64_t externalVersion = 0; ///< External version of the later configuration.
    std::optional<std::vector<evacuation>> evacuations; ///< The whole new list; empty when unchanged.
    std::optional<std::vector<service_warmup>> warmups; ///< The whole new list; empty when unchanged.

    /// Memberwise equality.
    bool operator==(const configuration_difference &) const = default;
};

/// The difference from before to after. The lists of both must have the order documented in configuration.
configuration_difference differenceBetween(const configuration &before, const configuration &after);

/// Applies a difference to the configuration that it was computed from. The revision is left unchanged and the document
/// is cleared.
void applyDifference(configuration &current, const configuration_difference &difference);

} // namespace guavafront
