#include <guavafront/coordination/configuration/configuration_check.h>

#include "coordination/configuration/printable.h"

#include <guavafront/coordination/configuration/setting.h>
#include <guavafront/coordination/configuration/validation.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <map>
#include <set>
#include <span>

namespace guavafront
{

namespace
{

using findings = std::vector<configuration_finding>;

std::string nameOf(const route &each)
{
    return "route " + (each.host.empty() ? std::string("*") : printable(each.host)) + printable(each.pathPrefix);
}

/// Whether the percent-encoded byte at the start of the text appears in the paths that routes are matched with: those
/// of unreserved characters are decoded before (RFC 3986, section 6.2.2.2), and those of separators are refused.
bool isEncodingKept(std::string_view text)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t length = 3;
    if (text.size() < length || std::isxdigit(static_cast<unsigned char>(text[1])) == 0
        || std::isxdigit(static_cast<unsigned char>(text[2])) == 0) {
        return false;
    }
    const auto decoded =
        static_cast<unsigned char>(std::stoi(std::string(text.substr(1, length - 1)), nullptr, hexadecimal));
    constexpr std::string_view decodedOrRefused = "-._~/\\";
    return decoded != 0 && std::isalnum(decoded) == 0
           && decodedOrRefused.find(static_cast<char>(decoded)) == std::string_view::npos;
}

/// Whether some request path begins with the prefix. Entry VMs refuse paths with empty or dot segments.
bool canPathBeginWith(std::string_view prefix)
{
    std::string path(normalizedPathPrefix(prefix));
    path += '/';
    for (const std::string_view refused : {"//", "/./", "/../", "\\"}) {
        if (path.find(refused) != std::string::npos) {
            return false;
        }
    }
    for (std::size_t at = path.find('%'); at != std::string::npos; at = path.find('%', at + 1)) {
        if (!isEncodingKept(std::string_view(path).substr(at))) {
            return false;
        }
    }
    return true;
}

/// Services that the routes lead to.
std::set<std::string_view> servicesOf(std::span<const route> routes)
{
    std::set<std::string_view> services;
    for (const route &each : routes) {
        if (each.split.empty()) {
            services.insert(each.service);
        }
        for (const weighted_service &part : each.split) {
            if (part.weight > 0) {
                services.insert(part.service);
            }
        }
    }
    return services;
}

void checkRoute(const configuration &candidate, const route &each, findings &found)
{
    const std::string name = nameOf(each);
    if (!canPathBeginWith(each.pathPrefix)) {
        found.push_back({finding_kind::Unreachable, name, "no request has a path that begins so"});
    }
    if (!each.openToAll && candidate.keys.empty()) {
        found.push_back({finding_kind::Unreachable, name, "needs a key, and no account has one"});
    }
    const bool hasWeight =
        std::ranges::any_of(each.split, [](const weighted_service &part) { return part.weight > 0; });
    if (!each.split.empty() && !hasWeight) {
        found.push_back({finding_kind::Contradiction, name, "no service of its split has a weight above 0"});
    }
    const std::uint32_t timeoutMs = each.timeoutMs > 0 ? each.timeoutMs : candidate.defaults.requestTimeoutMs;
    if (each.targetLatencyMs > timeoutMs) {
        found.push_back({finding_kind::Contradiction, name,
                         "its target latency of " + std::to_string(each.targetLatencyMs)
                             + " ms is beyond its timeout of " + std::to_string(timeoutMs) + " ms"});
    }
}

void checkAccounts(const configuration &candidate, findings &found)
{
    std::set<std::string_view> kinds;
    for (const route &each : candidate.routes) {
        kinds.insert(each.kind);
    }
    for (const account &each : candidate.accounts) {
        const std::string name = "account " + printable(each.name);
        if (std::ranges::find(candidate.keys, each.id, &account_key::owner) == candidate.keys.end()) {
            found.push_back({finding_kind::Unreachable, name, "has no key, so that it can send no request"});
        }
        for (const std::string &kind : each.kindOrder) {
            if (!kinds.contains(kind)) {
                found.push_back({finding_kind::Unreachable, name, "orders the kind " + kind + ", which no route has"});
            }
        }
        const fleet_defaults values = valuesForAccount(candidate, each.name);
        if (values.accountBurst < 1) {
            found.push_back(
                {finding_kind::Contradiction, name, "its burst is below one request, so that all are refused"});
        }
    }
}

void checkServices(const configuration &candidate, findings &found)
{
    const std::set<std::string_view> services = servicesOf(candidate.routes);
    const auto require = [&services, &found](std::string_view service, std::string_view entry) {
        if (!services.contains(service)) {
            found.push_back({finding_kind::Unreachable, "service " + printable(service),
                             std::string(entry) + " is set, but no route leads there"});
        }
    };
    for (const service_warmup &each : candidate.warmups) {
        require(each.service, "a limit for cold instances");
    }
    for (const setting_exception &each : candidate.exceptions) {
        const exception_subject subject = parseSubject(each.subject);
        if (subject.type == subject_type::Service) {
            require(subject.name, "an exception for " + each.setting);
        }
    }
}

void checkLimits(const configuration &candidate, findings &found)
{
    const caller_limits &limits = candidate.limits;
    if (limits.idleTimeoutMs > 0 && limits.headerTimeoutMs > limits.idleTimeoutMs) {
        found.push_back({finding_kind::Contradiction, "limits",
                         "the header timeout is longer than the idle timeout, which ends such a connection first"});
    }
}

/// Appends "WHAT NAME: added", "removed" or "changed" for the entries of two lists that differ. key(entry) tells which
/// entries correspond.
template<class item, class key_function, class equality>
void describeEntries(std::string_view what, const std::vector<item> &before, const std::vector<item> &after,
                     key_function key, equality equal, std::vector<std::string> &lines)
{
    std::map<std::string, const item *> old;
    for (const item &each : before) {
        old.emplace(key(each), &each);
    }
    for (const item &each : after) {
        const auto found = old.find(key(each));
        if (found == old.end()) {
            lines.push_back(std::string(what) + key(each) + ": added");
        } else {
            if (!equal(*found->second, each)) {
                lines.push_back(std::string(what) + key(each) + ": changed");
            }
            old.erase(found);
        }
    }
    for (const auto &[name, entry] : old) {
        lines.push_back(std::string(what) + name + ": removed");
    }
}

} // namespace

std::string_view findingKindName(finding_kind kind)
{
    switch (kind) {
    case finding_kind::Error:
        return "error";
    case finding_kind::Unreachable:
        return "unreachable";
    case finding_kind::Contradiction:
        break;
    }
    return "contradiction";
}

std::vector<configuration_finding> checkConfiguration(const configuration &candidate)
{
    try {
        validate(candidate);
    } catch (const coordination_error &fault) {
        return {{finding_kind::Error, "configuration", fault.what()}};
    }
    findings found;
    for (const route &each : candidate.routes) {
        checkRoute(candidate, each, found);
    }
    checkAccounts(candidate, found);
    checkServices(candidate, found);
    checkLimits(candidate, found);
    return found;
}

std::optional<configuration_finding> checkVersion(const configuration &inForce, const configuration &candidate)
{
    const std::string version = "version " + std::to_string(candidate.externalVersion);
    if (candidate.externalVersion < inForce.externalVersion) {
        return configuration_finding{finding_kind::Error, version,
                                     "is older than " + std::to_string(inForce.externalVersion)
                                         + ", which is in force"};
    }
    if (candidate.externalVersion == inForce.externalVersion && !describeChanges(inForce, candidate).empty()) {
        return configuration_finding{finding_kind::Error, version, "is in force with another content"};
    }
    return std::nullopt;
}

std::vector<std::string> describeChanges(const configuration &inForce, const configuration &candidate)
{
    std::vector<std::string> lines;
    if (candidate.externalVersion != inForce.externalVersion) {
        lines.push_back("version: " + std::to_string(inForce.externalVersion) + " -> "
                        + std::to_string(candidate.externalVersion));
    }
    describeEntries(
        "account ", inForce.accounts, candidate.accounts, [](const account &each) { return each.name; },
        [](account before, const account &after) {
            before.id = after.id;
            return before == after;
        },
        lines);
    describeEntries(
        "", inForce.routes, candidate.routes, nameOf,
        [](route before, const route &after) {
            before.id = after.id;
            return before == after;
        },
        lines);
    describeEntries(
        "exception ", inForce.exceptions, candidate.exceptions,
        [](const setting_exception &each) { return each.subject + " " + each.setting; },
        [](const setting_exception &before, const setting_exception &after) { return before.value == after.value; },
        lines);
    describeEntries(
        "warm-up of service ", inForce.warmups, candidate.warmups,
        [](const service_warmup &each) { return each.service; }, std::equal_to<>(), lines);
    const auto countMissing = [](const configuration &from, const configuration &in) {
        return std::ranges::count_if(from.keys, [&in](const account_key &each) {
            return std::ranges::find(in.keys, each.hash, &account_key::hash) == in.keys.end();
        });
    };
    if (const auto withdrawn = countMissing(inForce, candidate); withdrawn > 0) {
        lines.push_back("keys withdrawn: " + std::to_string(withdrawn));
    }
    if (const auto granted = countMissing(candidate, inForce); granted > 0) {
        lines.push_back("keys granted: " + std::to_string(granted));
    }
    if (inForce.defaults != candidate.defaults) {
        lines.emplace_back("defaults: changed");
    }
    if (inForce.limits != candidate.limits) {
        lines.emplace_back("limits of callers: changed");
    }
    return lines;
}

} // namespace guavafront
