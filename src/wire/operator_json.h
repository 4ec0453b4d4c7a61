#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Parses a change request as operators write it:
/// {"request_id": 32 hex digits, "expected_revision": N, "changes": [{"change": "create_account", "account": "a"},
/// ...]} Throws coordination_error (ChangeInvalid) with the path of the invalid member.
change_request parseChangeRequestJson(std::string_view text);

/// Encodes a change request as the JSON that parseChangeRequestJson() parses.
std::string toJson(const change_request &request);

/// Encodes an answer as JSON with the members code, name, revision and text. When the change was accepted, the member
/// state is "accepted".
std::string toJson(const change_answer &answer);

/// Parses the JSON of an answer. Throws coordination_error (MessageMalformed).
change_answer parseChangeAnswerJson(std::string_view text);

/// Encodes a configuration as JSON for operators. It shows the label and account of a key but never its hash.
std::string toOperatorJson(const configuration &value);

/// Formats an identifier of a change request as 32 hexadecimal digits.
std::string toHex(const change_id &id);

/// Parses what toHex() wrote. Throws coordination_error (ChangeInvalid).
change_id parseChangeId(std::string_view hex);

} // namespace guavafront
