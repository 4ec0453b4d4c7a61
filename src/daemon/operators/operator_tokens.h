#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Token of one operator or account manager.
struct operator_token {
    std::string name; ///< Name of the holder.
    std::string token; ///< Secret token.
    change_author author; ///< Role and account for which the token authorizes changes.
};

/// Parses tokens from JSON, in which comments are allowed:
/// {"operators": [{"name": "ana", "token": "...", "role": "operator"},
///                {"name": "luis", "token": "...", "role": "account_manager", "account": "panalera"}]}
/// Throws coordination_error (SettingInvalid) that names the faulty entry, never a token.
std::vector<operator_token> parseOperatorTokens(std::string_view text);

/// Returns the entry with the given token, or null if there is none. Always compares with all entries, so that the time
/// taken doesn't tell which one matched.
const operator_token *findOperator(const std::vector<operator_token> &tokens, std::string_view given);

} // namespace guavafront
