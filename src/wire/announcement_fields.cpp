#include "wire/announcement_fields.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace guavafront
{

namespace
{

constexpr std::size_t maxNameBytes = 64;
constexpr std::uint16_t maxSlots = 10'000;
constexpr duration minLease = std::chrono::milliseconds(200);
constexpr duration maxLease = std::chrono::seconds(60);
constexpr std::array<std::string_view, 4> stateNames{"starting", "serving", "draining", "leaving"};

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, isNameCharacter);
}

bool isIpNumber(const std::string &text)
{
    in6_addr binary{};
    return inet_pton(AF_INET, text.c_str(), &binary) == 1 || inet_pton(AF_INET6, text.c_str(), &binary) == 1;
}

} // namespace

std::optional<std::string> findFault(const announcement &value)
{
    if (value.instance.value == 0) {
        return "instance: must not be zero";
    }
    if (!isName(value.service)) {
        return "service: 1 to 64 letters, digits, '-', '_' or '.'";
    }
    if (!isName(value.dataCentre)) {
        return "data_centre: 1 to 64 letters, digits, '-', '_' or '.'";
    }
    if (!isIpNumber(value.ip) || value.port == 0) {
        return "ip, port: an IP number and a port from 1 to 65535";
    }
    if (value.slots == 0 || value.slots > maxSlots) {
        return "slots: 1 to 10000";
    }
    if (!(value.load >= 0 && value.load <= 1)) {
        return "load: 0 to 1";
    }
    if (value.lease < minLease || value.lease > maxLease) {
        return "lease_ms: 200 to 60000";
    }
    return std::nullopt;
}

std::string_view stateName(instance_state state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::optional<instance_state> parseState(std::string_view name)
{
    const auto found = std::ranges::find(stateNames, name);
    if (found == stateNames.end()) {
        return std::nullopt;
    }
    return static_cast<instance_state>(found - stateNames.begin());
}

} // namespace guavafront
