#include "daemon/operators/operator_tokens.h"

#include "daemon/token_check.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>

namespace guavafront
{

namespace
{

constexpr std::size_t minTokenBytes = 16;

[[noreturn]] void reject(std::size_t index, const std::string &text)
{
    throw coordination_error(result_code::SettingInvalid, "operators[" + std::to_string(index) + "]" + text);
}

std::string requiredText(const nlohmann::json &object, const char *name, std::size_t index)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        reject(index, "." + std::string(name) + " must be text");
    }
    return found->get<std::string>();
}

operator_token readToken(const nlohmann::json &object, std::size_t index)
{
    operator_token entry{
        .name = requiredText(object, "name", index), .token = requiredText(object, "token", index), .author = {}};
    if (entry.token.size() < minTokenBytes) {
        reject(index, ".token has fewer than 16 bytes");
    }
    const std::string role = requiredText(object, "role", index);
    if (role == "operator") {
        entry.author.role = operator_role::Operator;
    } else if (role == "account_manager") {
        entry.author = {operator_role::AccountManager, requiredText(object, "account", index)};
    } else {
        reject(index, ".role must be operator or account_manager");
    }
    return entry;
}

} // namespace

std::vector<operator_token> parseOperatorTokens(std::string_view text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false, true);
    if (!document.is_object() || !document.contains("operators") || !document["operators"].is_array()) {
        throw coordination_error(result_code::SettingInvalid, "the file must hold {\"operators\": [...]}");
    }
    std::vector<operator_token> tokens;
    for (const nlohmann::json &each : document["operators"]) {
        if (!each.is_object()) {
            reject(tokens.size(), " must be an object");
        }
        tokens.push_back(readToken(each, tokens.size()));
    }
    return tokens;
}

const operator_token *findOperator(const std::vector<operator_token> &tokens, std::string_view given)
{
    const operator_token *match = nullptr;
    for (const operator_token &each : tokens) {
        if (tokenMatches(given, each.token)) {
            match = &each;
        }
    }
    return match;
}

} // namespace guavafront
