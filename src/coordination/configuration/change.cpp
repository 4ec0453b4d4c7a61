#include "coordination/configuration/printable.h"

#include <guavafront/coordination/configuration/change.h>
#include <guavafront/coordination/configuration/setting.h>
#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace guavafront
{

namespace
{

[[noreturn]] void throwUnknown(std::string_view what, std::string_view name)
{
    throw coordination_error(result_code::SubjectUnknown, std::string(what) + " '" + printable(name) + "' is unknown");
}

[[noreturn]] void throwExists(std::string_view what, std::string_view name)
{
    throw coordination_error(result_code::SubjectExists, std::string(what) + " '" + printable(name) + "' exists");
}

account &accountNamed(configuration &current, std::string_view name)
{
    const auto found = std::ranges::find(current.accounts, name, &account::name);
    if (found == current.accounts.end()) {
        throwUnknown("account", name);
    }
    return *found;
}

auto findRouteAt(configuration &current, std::string_view host, std::string_view pathPrefix)
{
    const std::string_view wanted = normalizedPathPrefix(pathPrefix);
    return std::ranges::find_if(current.routes, [&](const route &each) {
        return each.host == host && normalizedPathPrefix(each.pathPrefix) == wanted;
    });
}

/// First position in the ordered exceptions that isn't before the given subject and setting.
auto exceptionPosition(configuration &current, std::string_view subject, std::string_view setting)
{
    const auto place = [](const setting_exception &each) {
        return std::pair<std::string_view, std::string_view>(each.subject, each.setting);
    };
    return std::ranges::lower_bound(current.exceptions, std::pair(subject, setting), {}, place);
}

void apply(configuration &current, const set_defaults &edit)
{
    current.defaults = edit.values;
}

void apply(configuration &current, const create_account &edit)
{
    if (std::ranges::find(current.accounts, edit.name, &account::name) != current.accounts.end()) {
        throwExists("account", edit.name);
    }
    ++current.lastAccountId.value;
    current.accounts.push_back({.id = current.lastAccountId, .name = edit.name});
}

void apply(configuration &current, const set_kind_order &edit)
{
    accountNamed(current, edit.accountName).kindOrder = edit.kinds;
}

void apply(configuration &current, const grant_key &edit)
{
    const account_id owner = accountNamed(current, edit.accountName).id;
    const auto place = std::ranges::lower_bound(current.keys, edit.label, {}, &account_key::label);
    if (place != current.keys.end() && place->label == edit.label) {
        throwExists("key", edit.label);
    }
    current.keys.insert(place, {.label = edit.label, .hash = edit.hash, .owner = owner});
}

void apply(configuration &current, const withdraw_key &edit)
{
    const auto place = std::ranges::lower_bound(current.keys, edit.label, {}, &account_key::label);
    if (place == current.keys.end() || place->label != edit.label) {
        throwUnknown("key", edit.label);
    }
    current.keys.erase(place);
}

void apply(configuration &current, const put_route &edit)
{
    const auto place = findRouteAt(current, edit.value.host, edit.value.pathPrefix);
    if (place != current.routes.end()) {
        const route_id kept = place->id;
        *place = edit.value;
        place->id = kept;
        return;
    }
    ++current.lastRouteId.value;
    current.routes.push_back(edit.value);
    current.routes.back().id = current.lastRouteId;
}

void apply(configuration &current, const remove_route &edit)
{
    const auto place = findRouteAt(current, edit.host, edit.pathPrefix);
    if (place == current.routes.end()) {
        throwUnknown("route", edit.host + edit.pathPrefix);
    }
    current.routes.erase(place);
}

void apply(configuration &current, const put_exception &edit)
{
    const setting_exception &value = edit.value;
    const exception_subject subject = parseSubject(value.subject);
    if (subject.type == subject_type::Service
        && std::ranges::find(current.routes, subject.name, &route::service) == current.routes.end()) {
        throwUnknown("service", subject.name);
    }
    const auto place = exceptionPosition(current, value.subject, value.setting);
    if (place != current.exceptions.end() && place->subject == value.subject && place->setting == value.setting) {
        *place = value;
        return;
    }
    current.exceptions.insert(place, value);
}

void apply(configuration &current, const remove_exception &edit)
{
    const auto place = exceptionPosition(current, edit.subject, edit.setting);
    if (place == current.exceptions.end() || place->subject != edit.subject || place->setting != edit.setting) {
        throwUnknown("exception", edit.subject + " " + edit.setting);
    }
    current.exceptions.erase(place);
}

/// Replaces accounts and keys by those of next, whose account ids are placeholders: an account with an existing name
/// keeps its id, others get new ones. The keys' owners are renumbered to match.
void replaceAccounts(configuration &current, const configuration &next)
{
    std::unordered_map<std::string_view, account_id> known;
    for (const account &each : current.accounts) {
        known.emplace(each.name, each.id);
    }
    std::vector<account> accounts = next.accounts;
    std::unordered_map<std::uint32_t, account_id> renumbered;
    for (account &each : accounts) {
        const account_id placeholder = each.id;
        const auto kept = known.find(each.name);
        if (kept != known.end()) {
            each.id = kept->second;
        } else {
            ++current.lastAccountId.value;
            each.id = current.lastAccountId;
        }
        renumbered[placeholder.value] = each.id;
    }
    std::ranges::sort(accounts, {}, &account::id);
    current.accounts = std::move(accounts);
    current.keys = next.keys;
    for (account_key &each : current.keys) {
        each.owner = renumbered[each.owner.value];
    }
    std::ranges::sort(current.keys, {}, &account_key::label);
}

/// Host and path prefix of a route, which no other route has.
using route_place = std::pair<std::string_view, std::string_view>;

route_place placeOf(const route &each)
{
    return {each.host, normalizedPathPrefix(each.pathPrefix)};
}

/// Hash of a route_place, for a table of the standard library.
struct route_place_hash {
    std::size_t operator()(const route_place &place) const
    {
        const std::hash<std::string_view> hash;
        return hash(place.first) * 31 + hash(place.second);
    }
};

/// Replaces the routes by those of next: a route with the host and path prefix of an existing one keeps its id, others
/// get new ones.
void replaceRoutes(configuration &current, const configuration &next)
{
    std::unordered_map<route_place, route_id, route_place_hash> known;
    known.reserve(current.routes.size());
    for (const route &each : current.routes) {
        known.emplace(placeOf(each), each.id);
    }
    std::vector<route> routes = next.routes;
    for (route &each : routes) {
        const auto kept = known.find(placeOf(each));
        if (kept != known.end()) {
            each.id = kept->second;
        } else {
            ++current.lastRouteId.value;
            each.id = current.lastRouteId;
        }
    }
    std::ranges::sort(routes, {}, &route::id);
    current.routes = std::move(routes);
}

void apply(configuration &current, const replace_all &edit)
{
    if (!isNewer(current, edit)) {
        return;
    }
    replaceAccounts(current, edit.value);
    replaceRoutes(current, edit.value);
    current.defaults = edit.value.defaults;
    current.exceptions = edit.value.exceptions;
    std::ranges::sort(current.exceptions, {},
                      [](const setting_exception &each) { return std::pair(each.subject, each.setting); });
    current.limits = edit.value.limits;
    current.externalVersion = edit.value.externalVersion;
    current.document = edit.value.document;
    current.warmups = edit.value.warmups;
}

void apply(configuration &current, const configuration_difference &edit)
{
    applyDifference(current, edit);
}

void apply(configuration &current, const evacuation_order &edit)
{
    applyOrder(current.evacuations, edit);
}

} // namespace

bool isNewer(const configuration &current, const replace_all &edit)
{
    return edit.value.externalVersion > current.externalVersion;
}

configuration applyChanges(const configuration &before, std::span<const change> changes)
{
    if (changes.empty() || changes.size() > maxChangesPerRequest) {
        throw coordination_error(result_code::ChangeInvalid, "a request holds 1 to 1000 changes");
    }
    configuration after = before;
    for (const change &edit : changes) {
        std::visit([&after](const auto &value) { apply(after, value); }, edit);
    }
    validate(after);
    ++after.atRevision.value;
    return after;
}

} // namespace guavafront
