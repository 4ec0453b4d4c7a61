#include "load/load_outcome.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr int firstServerErrorStatus = 500;
constexpr std::string_view problemType = "application/problem+json";

/// Result code in the problem details of an answer; empty when it has none, since the answer is then the upstream's.
std::optional<result_code> refusalCodeOf(const http_answer &answer)
{
    if (headerValue(viewsOf(answer.headers), "Content-Type") != problemType) {
        return std::nullopt;
    }
    const nlohmann::json body = nlohmann::json::parse(textOf(answer.body), nullptr, false);
    if (!body.is_object() || !body.contains("code") || !body["code"].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto number = body["code"].get<std::uint64_t>();
    const auto rows = resultCodeTable();
    const auto row = std::ranges::find(
        rows, number, [](const result_code_row &each) { return static_cast<std::uint64_t>(each.code); });
    return row == rows.end() ? std::nullopt : std::optional(row->code);
}

load_failure failureOf(upstream_result result)
{
    switch (result) {
    case upstream_result::ConnectFailed:
        return load_failure::ConnectFailed;
    case upstream_result::AnswerIncomplete:
        return load_failure::AnswerIncomplete;
    case upstream_result::TimedOut:
        return load_failure::TimedOut;
    case upstream_result::Answered:
    case upstream_result::Closed:
    case upstream_result::Cancelled:
        break;
    }
    return load_failure::Closed;
}

} // namespace

load_outcome loadOutcomeOf(const upstream_outcome &outcome)
{
    if (outcome.result != upstream_result::Answered) {
        return {.refused = {}, .failed = failureOf(outcome.result)};
    }
    if (const auto code = refusalCodeOf(outcome.answer)) {
        return {.refused = code, .failed = {}};
    }
    if (outcome.answer.status >= firstServerErrorStatus) {
        return {.refused = {}, .failed = load_failure::UpstreamError};
    }
    return {};
}

} // namespace guavafront
