#include "wire/announcement_json.h"

#include "wire/announcement_fields.h"
#include "wire/untrusted_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <limits>

namespace guavafront
{

namespace
{

constexpr std::size_t maxTextBytes = 4'096;
constexpr int hexBase = 16;

[[noreturn]] void refuse(const std::string &why)
{
    throw coordination_error(result_code::AnnouncementRefused, why);
}

std::string text(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        refuse(std::string(name) + ": a string is needed");
    }
    return found->get<std::string>();
}

/// Reads an integer member from 0 to largest; returns fallback when the member is absent.
std::uint64_t number(const nlohmann::json &object, const char *name, std::uint64_t largest, std::uint64_t fallback)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > largest) {
        refuse(std::string(name) + ": a whole number up to " + std::to_string(largest) + " is needed");
    }
    return found->get<std::uint64_t>();
}

instance_id parseInstance(const std::string &hex)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(hex.data(), hex.data() + hex.size(), value, hexBase);
    if (failure != std::errc() || end != hex.data() + hex.size()) {
        refuse("instance: up to 16 hexadecimal digits");
    }
    return {value};
}

float parseLoad(const nlohmann::json &object)
{
    const auto found = object.find("load");
    if (found == object.end()) {
        return 0;
    }
    if (!found->is_number()) {
        refuse("load: a number from 0 to 1 is needed");
    }
    return found->get<float>();
}

void refuseUnknownNames(const nlohmann::json &object)
{
    constexpr std::array<std::string_view, 12> names{"instance",    "name",  "born", "sequence",
                                                     "service",     "ip",    "port", "slots",
                                                     "data_centre", "state", "load", "lease_ms"};
    for (const auto &[name, value] : object.items()) {
        if (std::ranges::find(names, name) == names.end()) {
            refuse(name + ": unknown field");
        }
    }
}

announcement fromObject(const nlohmann::json &object, duration defaultLease)
{
    constexpr std::uint64_t largest16 = std::numeric_limits<std::uint16_t>::max();
    const std::optional<instance_state> state = parseState(text(object, "state"));
    if (!state) {
        refuse("state: starting, serving, draining or leaving");
    }
    const auto defaultMs = std::chrono::duration_cast<std::chrono::milliseconds>(defaultLease).count();
    const std::uint64_t leaseMs =
        number(object, "lease_ms", std::numeric_limits<std::uint32_t>::max(), static_cast<std::uint64_t>(defaultMs));
    return {.instance = parseInstance(text(object, "instance")),
            .name = object.contains("name") ? text(object, "name") : std::string(),
            .processStartMs = number(object, "born", std::numeric_limits<std::uint64_t>::max(), 0),
            .sequence = number(object, "sequence", std::numeric_limits<std::uint64_t>::max(), 0),
            .service = text(object, "service"),
            .ip = text(object, "ip"),
            .port = static_cast<std::uint16_t>(number(object, "port", largest16, 0)),
            .dataCentre = text(object, "data_centre"),
            .slots = static_cast<std::uint16_t>(number(object, "slots", largest16, 0)),
            .state = *state,
            .load = parseLoad(object),
            .lease = std::chrono::milliseconds(leaseMs)};
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto [end, failure] = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
    return {digits.data(), end};
}

} // namespace

announcement parseAnnouncementJson(std::string_view text, duration defaultLease)
{
    if (text.size() > maxTextBytes) {
        refuse("announcement: too large");
    }
    const nlohmann::json object = parseUntrustedJson(text);
    if (!object.is_object()) {
        refuse("announcement: not a JSON object");
    }
    refuseUnknownNames(object);
    announcement value = fromObject(object, defaultLease);
    if (const std::optional<std::string> fault = findFault(value)) {
        refuse(*fault);
    }
    return value;
}

std::string toJson(const announcement &value)
{
    const auto leaseMs = std::chrono::duration_cast<std::chrono::milliseconds>(value.lease).count();
    nlohmann::json object{{"instance", toHex(value.instance.value)},
                          {"sequence", value.sequence},
                          {"service", value.service},
                          {"ip", value.ip},
                          {"port", value.port},
                          {"data_centre", value.dataCentre},
                          {"slots", value.slots},
                          {"state", stateName(value.state)},
                          {"load", value.load},
                          {"lease_ms", leaseMs}};
    if (!value.name.empty()) {
        object["name"] = value.name;
    }
    if (value.processStartMs > 0) {
        object["born"] = value.processStartMs;
    }
    return object.dump();
}

} // namespace guavafront
