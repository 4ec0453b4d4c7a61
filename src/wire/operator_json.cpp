#include "wire/operator_json.h"

#include "wire/operator_change_json.h"
#include "wire/untrusted_json.h"

#include <guavafront/coordination/configuration/setting.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace guavafront
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::size_t hexDigitsPerWord = 16;

[[noreturn]] void reject(std::string_view member, std::string_view text)
{
    throw coordination_error(result_code::ChangeInvalid, std::string(member) + " " + std::string(text));
}

/// Reads the members of one JSON object and remembers which were requested, so that finish() can reject all others.
class object_reader
{
public:
    object_reader(const json &object, std::string path)
        : m_object(object)
        , m_path(std::move(path))
    {
        if (!object.is_object()) {
            reject(m_path, "must be an object");
        }
    }

    std::string text(std::string_view name)
    {
        const json *found = find(name);
        if (!found || !found->is_string()) {
            reject(pathOf(name), "must be text");
        }
        return found->get<std::string>();
    }

    std::string textOr(std::string_view name, std::string fallback)
    {
        return m_object.contains(name) ? text(name) : std::move(fallback);
    }

    double number(std::string_view name)
    {
        const json *found = find(name);
        if (!found || !found->is_number()) {
            reject(pathOf(name), "must be a number");
        }
        return found->get<double>();
    }

    std::uint64_t count(std::string_view name)
    {
        const json *found = find(name);
        if (!found || !found->is_number_unsigned()) {
            reject(pathOf(name), "must be a whole number, 0 or more");
        }
        return found->get<std::uint64_t>();
    }

    bool flagOr(std::string_view name, bool fallback)
    {
        const json *found = find(name);
        if (found && !found->is_boolean()) {
            reject(pathOf(name), "must be true or false");
        }
        return found ? found->get<bool>() : fallback;
    }

    const json &list(std::string_view name)
    {
        const json *found = find(name);
        if (!found || !found->is_array()) {
            reject(pathOf(name), "must be a list");
        }
        return *found;
    }

    const json &object(std::string_view name)
    {
        const json *found = find(name);
        if (!found || !found->is_object()) {
            reject(pathOf(name), "must be an object");
        }
        return *found;
    }

    /// Rejects the object when it has a member that was not requested.
    void finish() const
    {
        for (const auto &[name, value] : m_object.items()) {
            if (std::ranges::find(m_requested, name) == m_requested.end()) {
                reject(pathOf(name), "is not known here");
            }
        }
    }

    std::string pathOf(std::string_view name) const
    {
        return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
    }

private:
    const json *find(std::string_view name)
    {
        m_requested.emplace_back(name);
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

    const json &m_object; ///< Object that is read; not owned.
    std::string m_path; ///< Path of the object in the document, for error messages; empty for the document itself.
    std::vector<std::string> m_requested; ///< Names of the members that were requested.
};

std::uint32_t narrow(object_reader &reader, std::string_view name)
{
    const std::uint64_t value = reader.count(name);
    if (value > UINT32_MAX) {
        reject(reader.pathOf(name), "is too large");
    }
    return static_cast<std::uint32_t>(value);
}

key_hash readHash(object_reader &reader, std::string_view name)
{
    const std::string hex = reader.text(name);
    key_hash hash{};
    std::size_t bytes = 0;
    const int failed = sodium_hex2bin(reinterpret_cast<unsigned char *>(hash.data()), hash.size(), hex.data(),
                                      hex.size(), nullptr, &bytes, nullptr);
    if (failed != 0 || bytes != hash.size()) {
        reject(reader.pathOf(name), "must be a SHA-256 in 64 hexadecimal digits");
    }
    return hash;
}

route readRoute(object_reader &reader)
{
    route value;
    value.host = reader.textOr("host", "");
    value.pathPrefix = reader.text("path_prefix");
    value.service = reader.text("service");
    value.kind = reader.textOr("kind", value.service);
    value.openToAll = reader.flagOr("open_to_all", false);
    value.ordered = reader.flagOr("ordered", false);
    const std::string repeats = reader.textOr("repeats", "by_method");
    const auto found = std::ranges::find(repeatabilityNames, repeats);
    if (found == repeatabilityNames.end()) {
        reject(reader.pathOf("repeats"), "must be by_method, always or never");
    }
    value.repeats = static_cast<repeatability>(found - repeatabilityNames.begin());
    value.timeoutMs = narrow(reader, "timeout_ms");
    return value;
}

fleet_defaults readDefaults(const json &object, const std::string &path)
{
    fleet_defaults values;
    object_reader reader(object, path);
    for (const setting_descriptor &setting : settingTable()) {
        const double value = reader.number(setting.name);
        if (!isAllowed(setting, value)) {
            reject(reader.pathOf(setting.name), "is out of range");
        }
        setting.write(values, value);
    }
    reader.finish();
    return values;
}

std::vector<std::string> readTexts(const json &list, const std::string &path)
{
    std::vector<std::string> texts;
    for (const json &each : list) {
        if (!each.is_string()) {
            reject(path, "must be a list of texts");
        }
        texts.push_back(each.get<std::string>());
    }
    return texts;
}

change readChange(object_reader &reader)
{
    const std::string kind = reader.text("change");
    if (kind == "set_defaults") {
        return set_defaults{readDefaults(reader.object("values"), reader.pathOf("values"))};
    }
    if (kind == "create_account") {
        return create_account{reader.text("account")};
    }
    if (kind == "set_kind_order") {
        const std::string accountName = reader.text("account");
        return set_kind_order{accountName, readTexts(reader.list("kinds"), reader.pathOf("kinds"))};
    }
    if (kind == "grant_key") {
        return grant_key{reader.text("label"), reader.text("account"), readHash(reader, "key_sha256")};
    }
    if (kind == "withdraw_key") {
        return withdraw_key{reader.text("label")};
    }
    if (kind == "put_route") {
        return put_route{readRoute(reader)};
    }
    if (kind == "remove_route") {
        return remove_route{reader.textOr("host", ""), reader.text("path_prefix")};
    }
    if (kind == "put_exception") {
        return put_exception{
            {reader.text("subject"), reader.text("setting"), reader.number("value"), reader.text("reason")}};
    }
    if (kind == "remove_exception") {
        return remove_exception{reader.text("subject"), reader.text("setting")};
    }
    if (kind == "evacuate" || kind == "end_evacuation") {
        // The control leader sets the time.
        return evacuation_order{.dataCentre = reader.text("data_centre"),
                                .action = kind == "evacuate" ? evacuation_action::Start : evacuation_action::End};
    }
    reject(reader.pathOf("change"), "names no change");
}

std::uint64_t parseHexWord(std::string_view digits)
{
    std::uint64_t word = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), word, 16);
    if (failure != std::errc() || end != digits.data() + digits.size()) {
        reject("request_id", "must be 32 hexadecimal digits");
    }
    return word;
}

} // namespace

change_id parseChangeId(std::string_view hex)
{
    if (hex.size() != 2 * hexDigitsPerWord) {
        reject("request_id", "must be 32 hexadecimal digits");
    }
    return {.high = parseHexWord(hex.substr(0, hexDigitsPerWord)), .low = parseHexWord(hex.substr(hexDigitsPerWord))};
}

std::string toHex(const change_id &id)
{
    std::string text;
    for (const std::uint64_t word : {id.high, id.low}) {
        std::array<char, hexDigitsPerWord> digits{};
        const char *end = std::to_chars(digits.data(), digits.data() + digits.size(), word, 16).ptr;
        const auto count = static_cast<std::size_t>(end - digits.data());
        text.append(hexDigitsPerWord - count, '0').append(digits.data(), count);
    }
    return text;
}

change_request parseChangeRequestJson(std::string_view text)
{
    const json document = json::parse(text, nullptr, false, true);
    if (document.is_discarded()) {
        reject("the body", "must be JSON");
    }
    object_reader reader(document, "");
    change_request request;
    request.id = parseChangeId(reader.text("request_id"));
    request.expectedRevision.value = reader.count("expected_revision");
    std::size_t index = 0;
    for (const json &each : reader.list("changes")) {
        object_reader fields(each, "changes[" + std::to_string(index++) + "]");
        request.changes.push_back(readChange(fields));
        fields.finish();
    }
    reader.finish();
    return request;
}

std::string toJson(const change_request &request)
{
    json changes = json::array();
    for (const change &edit : request.changes) {
        changes.push_back(changeJson(edit));
    }
    return json{{"request_id", toHex(request.id)},
                {"expected_revision", request.expectedRevision.value},
                {"changes", std::move(changes)}}
        .dump();
}

std::string toJson(const change_answer &answer)
{
    json document{{"code", static_cast<int>(answer.code)},
                  {"name", describe(answer.code).name},
                  {"revision", answer.atRevision.value},
                  {"text", answer.text}};
    if (answer.code == result_code::Ok) {
        document["state"] = "accepted"; // GET /v1/confirmations tells on which VMs it is in force.
    }
    return document.dump();
}

change_answer parseChangeAnswerJson(std::string_view text)
{
    const json document = parseUntrustedJson(text);
    change_answer answer;
    const auto known = [](std::uint64_t code) {
        return std::ranges::any_of(resultCodeTable(), [code](const result_code_row &row) {
            return static_cast<std::uint64_t>(row.code) == code;
        });
    };
    if (!document.is_object() || !document.contains("code") || !document["code"].is_number_unsigned()
        || !known(document["code"].get<std::uint64_t>())) {
        throw coordination_error(result_code::MessageMalformed, "the answer is no JSON object with a known code");
    }
    answer.code = static_cast<result_code>(document["code"].get<std::uint16_t>());
    if (document.contains("revision") && document["revision"].is_number_unsigned()) {
        answer.atRevision.value = document["revision"].get<std::uint64_t>();
    }
    for (const char *name : {"text", "detail"}) {
        if (document.contains(name) && document[name].is_string()) {
            answer.text = document[name].get<std::string>();
        }
    }
    return answer;
}

std::string toOperatorJson(const configuration &value)
{
    json document{{"revision", value.atRevision.value}, {"defaults", defaultsJson(value.defaults)}};
    json &accounts = document["accounts"] = json::array();
    for (const account &each : value.accounts) {
        accounts.push_back({{"id", each.id.value}, {"account", each.name}, {"kinds", each.kindOrder}});
    }
    json &keys = document["keys"] = json::array();
    for (const account_key &each : value.keys) {
        const auto owner = std::ranges::find(value.accounts, each.owner, &account::id);
        keys.push_back({{"label", each.label}, {"account", owner == value.accounts.end() ? "" : owner->name}});
    }
    json &routes = document["routes"] = json::array();
    for (const route &each : value.routes) {
        routes.push_back(routeJson(each));
    }
    json &exceptions = document["exceptions"] = json::array();
    for (const setting_exception &each : value.exceptions) {
        exceptions.push_back(exceptionJson(each));
    }
    if (!value.evacuations.empty()) {
        document["evacuations"] = evacuationsJson(value.evacuations);
    }
    return document.dump(2);
}

} // namespace guavafront
