#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// One operator's or account manager's token.
struct operator_token {
    std::string name; ///< Who holds it; for logs.
    std::string token; ///< The secret.
    change_author author; ///< Role and account.
};

/// Tokens from JSON with comments:
/// {"operators": [{"name": "ana", "token": "...", "role": "operator"},
///                {"name": "luis", "token": "...", "role": "account_manager", "account": "panalera"}]}
/// Throws coordination_error (SettingInvalid) that names the faulty entry, never a token.
std::vector<operator_token> parseOperatorTokens(std::string_view text);

/// The entry that a token belongs to; null when none does.
const operator_token *findOperator(const std::vector<operator_token> &tokens, std::string_view given);

} // namespace guavafront
