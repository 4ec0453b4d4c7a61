#include "load/load_arguments.h"

#include "settings/settings_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace guavafront
{

namespace
{

constexpr double highestRate = 1e6;

[[noreturn]] void throwInvalid(std::string_view text, std::string_view why)
{
    throw coordination_error(result_code::SettingInvalid, "\"" + std::string(text) + "\": " + std::string(why));
}

double positiveNumber(std::string_view whole, std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !(value > 0) || value > highestRate) {
        throwInvalid(whole, "\"" + std::string(text) + "\" must be a number above 0, at most 1000000");
    }
    return value;
}

/// Removes the text up to the first separator from the front of rest, together with the separator, and returns it;
/// takes all of rest when it has no separator.
std::string_view takeUntil(std::string_view &rest, char separator)
{
    const std::size_t end = rest.find(separator);
    const std::string_view part = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return part;
}

} // namespace

load_account parseLoadAccount(std::string_view text)
{
    load_account account;
    std::string_view rest = text;
    while (!rest.empty()) {
        std::string_view value = takeUntil(rest, ',');
        const std::string_view name = takeUntil(value, '=');
        if (name == "name") {
            account.name = value;
        } else if (name == "rate") {
            account.ratePerSecond = positiveNumber(text, value);
        } else if (name == "limit") {
            account.limitPerSecond = positiveNumber(text, value);
        } else if (name == "burst") {
            account.limitBurst = positiveNumber(text, value);
        } else if (name == "key-file") {
            account.key = readSecretFile(std::string(value));
        } else {
            throw coordination_error(result_code::SettingUnknown,
                                     "\"" + std::string(text) + "\": unknown name \"" + std::string(name) + "\"");
        }
    }
    if (account.name.empty() || account.ratePerSecond <= 0) {
        throwInvalid(text, "name and rate are required");
    }
    if ((account.limitPerSecond > 0) != (account.limitBurst > 0)) {
        throwInvalid(text, "limit and burst go together");
    }
    return account;
}

load_request parseLoadRequest(std::string_view text)
{
    constexpr std::array<std::string_view, 7> methods{"GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"};
    std::string_view rest = text;
    const std::string_view method = takeUntil(rest, ' ');
    const std::string_view target = takeUntil(rest, ' ');
    if (std::ranges::find(methods, method) == methods.end()) {
        throwInvalid(text, "starts with a method in capitals");
    }
    if (!target.starts_with('/')) {
        throwInvalid(text, "the path starts with '/'");
    }
    return {.method = std::string(method),
            .target = std::string(target),
            .weight = rest.empty() ? 1 : positiveNumber(text, rest)};
}

std::vector<endpoint> parseEndpoints(std::span<const std::string> texts, std::string_view option)
{
    std::vector<endpoint> parsed;
    for (const std::string &text : texts) {
        const auto address = parseEndpoint(text);
        if (!address) {
            throwInvalid(text, std::string(option) + " takes an IP number and a port, as 127.0.0.1:8080");
        }
        parsed.push_back(*address);
    }
    return parsed;
}

} // namespace guavafront
