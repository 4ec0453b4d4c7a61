#include "coordination/configuration/printable.h"

#include <guavafront/coordination/configuration/setting.h>
#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cmath>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <vector>

namespace guavafront
{

namespace
{

[[noreturn]] void throwInvalid(const std::string &text)
{
    throw coordination_error(result_code::ChangeInvalid, text);
}

/// Throws ChangeInvalid with "FAULT: 'SUBJECT'" unless the condition holds.
void require(bool condition, std::string_view fault, std::string_view subject)
{
    if (!condition) {
        throwInvalid(std::string(fault) + ": '" + printable(subject) + "'");
    }
}

bool isLowerOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isValidHost(std::string_view host)
{
    return host.size() <= maxHostBytes
           && std::ranges::all_of(host, [](char c) { return isLowerOrDigit(c) || c == '.' || c == '-' || c == '_'; });
}

bool isValidPathPrefix(std::string_view prefix)
{
    return prefix.starts_with('/') && prefix.size() <= maxPathPrefixBytes
           && std::ranges::all_of(prefix, [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; });
}

/// Throws SubjectExists when two values are equal.
template<class item>
void requireDistinct(std::vector<item> values, std::string_view what)
{
    std::ranges::sort(values);
    if (std::ranges::adjacent_find(values) != values.end()) {
        throw coordination_error(result_code::SubjectExists, std::string(what) + " is used twice");
    }
}

void validateDefaults(const fleet_defaults &values)
{
    for (const setting_descriptor &setting : settingTable()) {
        require(isAllowed(setting, setting.read(values)), "default out of range", setting.name);
    }
}

void validateKindOrder(const account &owner)
{
    require(owner.kindOrder.size() <= maxKindsPerAccount, "too many kinds in the order of account", owner.name);
    std::vector<std::string_view> kinds;
    for (const std::string &kind : owner.kindOrder) {
        require(isValidName(kind), "kind is not a name", kind);
        kinds.push_back(kind);
    }
    std::ranges::sort(kinds);
    require(std::ranges::adjacent_find(kinds) == kinds.end(), "kind is named twice in the order of account",
            owner.name);
}

void validateAccounts(const configuration &candidate)
{
    std::vector<std::string_view> names;
    account_id previous;
    for (const account &each : candidate.accounts) {
        require(isValidName(each.name), "account name", each.name);
        require(each.id > previous && each.id <= candidate.lastAccountId, "account id out of order", each.name);
        previous = each.id;
        validateKindOrder(each);
        names.push_back(each.name);
    }
    requireDistinct(std::move(names), "account name");
}

void validateKeys(const configuration &candidate)
{
    std::vector<std::string_view> labels;
    std::vector<key_hash> hashes;
    for (const account_key &key : candidate.keys) {
        require(isValidName(key.label), "key label", key.label);
        const auto owner = std::ranges::lower_bound(candidate.accounts, key.owner, {}, &account::id);
        require(owner != candidate.accounts.end() && owner->id == key.owner, "key without account", key.label);
        labels.emplace_back(key.label);
        hashes.push_back(key.hash);
    }
    require(std::ranges::is_sorted(labels), "keys are out of order", "keys");
    requireDistinct(std::move(labels), "key label");
    requireDistinct(std::move(hashes), "key hash");
}

void validateRoute(const route &each)
{
    require(isValidHost(each.host), "route host is not a lower-case host", each.host);
    require(isValidPathPrefix(each.pathPrefix), "route path prefix", each.pathPrefix);
    require(isValidName(each.service), "route service", each.service);
    require(isValidName(each.kind), "route kind", each.kind);
    for (const weighted_service &part : each.split) {
        require(isValidName(part.service), "route service", part.service);
        require(std::isfinite(part.weight) && part.weight >= 0, "route weight of service", part.service);
    }
    const setting_descriptor &timeout = *findSetting("requestTimeoutMs");
    require(each.timeoutMs == 0 || isAllowed(timeout, each.timeoutMs), "route timeout of service", each.service);
    require(each.repeats <= repeatability::NotRepeatable, "route repeatability of service", each.service);
}

void validateRoutes(const configuration &candidate)
{
    std::vector<std::pair<std::string_view, std::string_view>> places;
    route_id previous;
    for (const route &each : candidate.routes) {
        validateRoute(each);
        require(each.id > previous && each.id <= candidate.lastRouteId, "route id out of order", each.service);
        previous = each.id;
        places.emplace_back(each.host, normalizedPathPrefix(each.pathPrefix));
    }
    requireDistinct(std::move(places), "route host and path prefix");
}

void validateException(const std::unordered_set<std::string_view> &accounts, const setting_exception &exception)
{
    const exception_subject subject = parseSubject(exception.subject);
    require(subject.type != subject_type::None && isValidName(subject.name), "exception subject", exception.subject);
    const setting_descriptor *setting = findSetting(exception.setting);
    require(setting != nullptr, "exception of an unknown setting", exception.setting);
    require(setting->exceptableFor == subject.type, "setting can't be excepted for this subject", exception.setting);
    require(isAllowed(*setting, exception.value), "exception value out of range", exception.setting);
    require(exception.reason.size() <= maxReasonBytes, "reason is too long", exception.subject);
    if (exception.reason.find_first_not_of(" \t\r\n") == std::string::npos) {
        throw coordination_error(result_code::ReasonMissing,
                                 "exception for " + printable(exception.subject) + " has no reason");
    }
    if (subject.type == subject_type::Account && !accounts.contains(subject.name)) {
        throw coordination_error(result_code::SubjectUnknown, "exception for unknown " + printable(exception.subject));
    }
}

void validateExceptions(const configuration &candidate)
{
    require(candidate.exceptions.size() <= maxExceptions, "too many exceptions", "exceptions");
    std::unordered_set<std::string_view> accounts;
    for (const account &each : candidate.accounts) {
        accounts.insert(each.name);
    }
    std::vector<std::pair<std::string_view, std::string_view>> places;
    for (const setting_exception &exception : candidate.exceptions) {
        validateException(accounts, exception);
        places.emplace_back(exception.subject, exception.setting);
    }
    require(std::ranges::is_sorted(places), "exceptions are out of order", "exceptions");
    requireDistinct(std::move(places), "exception subject and setting");
}

void validateEvacuations(const configuration &candidate)
{
    require(candidate.evacuations.size() <= maxEvacuations, "too many evacuations", "evacuations");
    std::vector<std::string_view> names;
    for (const evacuation &each : candidate.evacuations) {
        require(isDataCentreName(each.dataCentre), "name of a data centre", each.dataCentre);
        names.emplace_back(each.dataCentre);
    }
    require(std::ranges::is_sorted(names), "evacuations are out of order", "evacuations");
    requireDistinct(std::move(names), "data centre of an evacuation");
}

void validateWarmups(const configuration &candidate)
{
    constexpr double highestRate = 1e6;
    constexpr std::uint32_t longestMs = 600'000;
    std::vector<std::string_view> services;
    for (const service_warmup &each : candidate.warmups) {
        require(isValidName(each.service), "warm-up limit of service", each.service);
        require(each.perSecond > 0 && each.perSecond <= highestRate && each.warmupMs <= longestMs,
                "warm-up limit out of range", each.service);
        services.emplace_back(each.service);
    }
    require(std::ranges::is_sorted(services), "warm-up limits are out of order", "warm-ups");
    requireDistinct(std::move(services), "service with a warm-up limit");
}

} // namespace

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameBytes && std::ranges::all_of(name, [](char c) {
        return isLowerOrDigit(c) || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-';
    });
}

std::string_view normalizedPathPrefix(std::string_view prefix)
{
    while (prefix.ends_with('/')) {
        prefix.remove_suffix(1);
    }
    return prefix;
}

void validate(const configuration &candidate)
{
    validateDefaults(candidate.defaults);
    validateAccounts(candidate);
    validateKeys(candidate);
    validateRoutes(candidate);
    validateExceptions(candidate);
    validateEvacuations(candidate);
    validateWarmups(candidate);
}

} // namespace guavafront
