#include <guavafront/coordination/configuration/configuration_difference.h>

#include <algorithm>
#include <functional>

namespace guavafront
{

namespace
{

/// Finds the items of after that are new or changed (put), and the keys of the items that are only in before (removed).
/// before and after must be ordered by the key; so are the results.
template<class item, class key>
void compare(const std::vector<item> &before, const std::vector<item> &after, key item::*keyOf,
             std::vector<key> &removed, std::vector<item> &put)
{
    auto old = before.begin();
    for (const item &each : after) {
        while (old != before.end() && (*old).*keyOf < each.*keyOf) {
            removed.push_back((*old).*keyOf);
            ++old;
        }
        const bool known = old != before.end() && (*old).*keyOf == each.*keyOf;
        if (!known || *old != each) {
            put.push_back(each);
        }
        old += known ? 1 : 0;
    }
    for (; old != before.end(); ++old) {
        removed.push_back((*old).*keyOf);
    }
}

/// Applies the result of compare() to a list: removes the items with the removed keys, and adds or replaces the items
/// in put. All lists are ordered by the key.
template<class item, class key>
void merge(std::vector<item> &list, key item::*keyOf, const std::vector<key> &removed, const std::vector<item> &put)
{
    const auto replaced = [&](const item &each) {
        return std::ranges::binary_search(removed, each.*keyOf)
               || std::ranges::binary_search(put, each.*keyOf, {}, keyOf);
    };
    std::erase_if(list, replaced);
    const auto middle = static_cast<std::ptrdiff_t>(list.size());
    list.insert(list.end(), put.begin(), put.end());
    std::ranges::inplace_merge(list, list.begin() + middle, {}, keyOf);
}

/// The value after; empty when it equals the one before.
template<class value>
std::optional<value> changed(const value &before, const value &after)
{
    return before == after ? std::nullopt : std::optional<value>(after);
}

} // namespace

configuration_difference differenceBetween(const configuration &before, const configuration &after)
{
    configuration_difference difference{.defaults = changed(before.defaults, after.defaults),
                                        .limits = changed(before.limits, after.limits),
                                        .exceptions = changed(before.exceptions, after.exceptions),
                                        .lastAccountId = after.lastAccountId,
                                        .lastRouteId = after.lastRouteId,
                                        .externalVersion = after.externalVersion,
                                        .evacuations = changed(before.evacuations, after.evacuations),
                                        .warmups = changed(before.warmups, after.warmups)};
    compare(before.accounts, after.accounts, &account::id, difference.removedAccounts, difference.accounts);
    compare(before.keys, after.keys, &account_key::label, difference.removedKeys, difference.keys);
    compare(before.routes, after.routes, &route::id, difference.removedRoutes, difference.routes);
    return difference;
}

void applyDifference(configuration &current, const configuration_difference &difference)
{
    current.defaults = difference.defaults.value_or(current.defaults);
    current.limits = difference.limits.value_or(current.limits);
    if (difference.exceptions) {
        current.exceptions = *difference.exceptions;
    }
    if (difference.evacuations) {
        current.evacuations = *difference.evacuations;
    }
    if (difference.warmups) {
        current.warmups = *difference.warmups;
    }
    merge(current.accounts, &account::id, difference.removedAccounts, difference.accounts);
    merge(current.keys, &account_key::label, difference.removedKeys, difference.keys);
    merge(current.routes, &route::id, difference.removedRoutes, difference.routes);
    current.lastAccountId = difference.lastAccountId;
    current.lastRouteId = difference.lastRouteId;
    current.externalVersion = difference.externalVersion;
    current.document.clear();
}

} // namespace guavafront
