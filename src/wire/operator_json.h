#pragma once

#include <guavafront/coordination/configuration/change_log.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Reads a change request as operators write it:
/// {"request_id": 32 hex digits, "expected_revision": N, "changes": [{"change": "create_account", "account": "a"},
/// ...]} Throws coordination_error (ChangeInvalid) with the path of the faulty member.
change_request parseChangeRequestJson(std::string_view text);

/// JSON that parseChangeRequestJson() reads back.
std::string toJson(const change_request &request);

/// JSON of an answer: code, name, revision and text; state "accepted" when it was.
std::string toJson(const change_answer &answer);

/// Reads what toJson() wrote. Throws coordination_error (MessageMalformed).
change_answer parseChangeAnswerJson(std::string_view text);

/// JSON of a configuration for operators; keys are shown by label and account, never by hash.
std::string toOperatorJson(const configuration &value);

/// 32 hexadecimal digits.
std::string toHex(const change_id &id);

/// Reads toHex(); throws coordination_error (ChangeInvalid).
change_id parseChangeId(std::string_view hex);

} // namespace guavafront
