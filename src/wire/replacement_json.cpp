#include "wire/replacement_json.h"

#include "wire/untrusted_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace guavafront
{

namespace
{

constexpr std::size_t hexDigits = 16;

vm_id memberOf(const nlohmann::json &document, const char *name)
{
    const auto found = document.find(name);
    if (found == document.end() || !found->is_string()) {
        throw coordination_error(result_code::ChangeInvalid, std::string(name) + " must be 16 hexadecimal digits");
    }
    return parseVmId(found->get_ref<const std::string &>());
}

} // namespace

std::string toHex(vm_id id)
{
    std::array<char, hexDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, id.value);
    return text.data();
}

vm_id parseVmId(std::string_view hex)
{
    vm_id id;
    const char *end = hex.data() + hex.size();
    const auto [stop, error] = std::from_chars(hex.data(), end, id.value, 16);
    if (hex.size() != hexDigits || stop != end || error != std::errc{} || id.value == 0) {
        throw coordination_error(result_code::ChangeInvalid, "a VM is named by 16 hexadecimal digits");
    }
    return id;
}

std::string toJson(const replacement_request &request)
{
    nlohmann::json document{{"old", toHex(request.old)}};
    if (request.replacement.value != 0) {
        document["new"] = toHex(request.replacement);
    }
    return document.dump();
}

replacement_request parseReplacementJson(std::string_view text)
{
    const nlohmann::json document = parseUntrustedJson(text);
    if (!document.is_object()) {
        throw coordination_error(result_code::ChangeInvalid, "the body is no JSON object");
    }
    replacement_request request{memberOf(document, "old"), {}};
    const bool replaces = document.contains("new");
    if (replaces) {
        request.replacement = memberOf(document, "new");
    }
    if (document.size() != (replaces ? 2U : 1U)) {
        throw coordination_error(result_code::ChangeInvalid, "unknown member in the body");
    }
    return request;
}

} // namespace guavafront
