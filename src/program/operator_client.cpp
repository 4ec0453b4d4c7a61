#include "program/operator_client.h"

#include "http/http_call.h"
#include "wire/operator_json.h"
#include "wire/quarantine_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

namespace guavafront
{

namespace
{

constexpr int firstNonSuccessStatus = 300;
/// Pause between two polls for the confirmations of a revision.
constexpr duration confirmationPollPeriod = std::chrono::milliseconds(200);

/// Converts an answer of status 300 or above to the error that its problem details describe.
coordination_error errorFromAnswer(const http_answer &answer)
{
    const change_answer problem = parseChangeAnswerJson(textOf(answer.body));
    return {problem.code, problem.text};
}

revision revisionFromStatus(const std::string &text)
{
    const auto status = nlohmann::json::parse(text, nullptr, false);
    if (!status.is_object() || !status.contains("revision") || !status["revision"].is_number_unsigned()) {
        throw coordination_error(result_code::MessageMalformed, "the control's status names no revision");
    }
    return {status["revision"].get<std::uint64_t>()};
}

/// Whether polling for an accepted revision's confirmations can still succeed after this error.
bool isRetryable(result_code code)
{
    return code != result_code::NotAuthorized && code != result_code::RevisionUnknown;
}

/// Polls once. A retryable error leaves the known status unchanged; any other is thrown.
void pollConfirmationStatus(const operator_client &client, revision accepted, confirmation_status &known)
{
    try {
        known.json = readFromControl(client, "/v1/confirmations?revision=" + std::to_string(accepted.value));
        known.code = parseChangeAnswerJson(known.json).code;
    } catch (const coordination_error &error) {
        if (!isRetryable(error.code())) {
            throw;
        }
    }
}

/// Sends the request to the control VMs in order and returns the body of the first answer below status 300. Throws
/// coordination_error with the last error when there is none.
std::string firstSuccessfulAnswer(const operator_client &client, const http_call_request &request)
{
    coordination_error last(result_code::ConnectFailed, "no control VM was named");
    for (const endpoint &server : client.servers) {
        try {
            const http_answer answer = httpCall(server, request);
            if (answer.status < firstNonSuccessStatus) {
                return std::string(textOf(answer.body));
            }
            last = errorFromAnswer(answer);
        } catch (const coordination_error &error) {
            last = error;
        }
    }
    throw last;
}

} // namespace

std::string readFromControl(const operator_client &client, std::string_view target)
{
    return firstSuccessfulAnswer(client, {.method = "GET", .target = target, .token = client.token});
}

std::string releaseFromQuarantine(const operator_client &client, request_fingerprint request)
{
    const std::string body = releaseJson(request);
    return firstSuccessfulAnswer(
        client, {.method = "POST", .target = "/v1/quarantine/release", .token = client.token, .body = body});
}

revision currentRevision(const operator_client &client)
{
    std::optional<revision> highest;
    coordination_error last(result_code::ConnectFailed, "no control VM was named");
    for (const endpoint &server : client.servers) {
        try {
            const revision named = revisionFromStatus(readFromControl({{server}, client.token}, "/v1/status"));
            highest = std::max(highest.value_or(named), named);
        } catch (const coordination_error &error) {
            last = error;
        }
    }
    if (!highest) {
        throw last;
    }
    return *highest;
}

change_answer submitReplacement(const operator_client &client, const replacement_request &request)
{
    const std::string body = toJson(request);
    change_answer last{.code = result_code::ConnectFailed, .text = "no control VM was named"};
    for (const endpoint &server : client.servers) {
        try {
            const http_answer answer =
                httpCall(server, {.method = "POST", .target = "/v1/replacements", .token = client.token, .body = body});
            last = parseChangeAnswerJson(textOf(answer.body));
            if (last.code != result_code::NotLeader) {
                return last;
            }
        } catch (const coordination_error &error) {
            last = {.code = error.code(), .text = error.what()};
        }
    }
    return last;
}

change_answer submitChange(const operator_client &client, const change_request &request)
{
    const std::string body = toJson(request);
    bool mayBeAccepted = false;
    change_answer last{.code = result_code::ConnectFailed, .text = "no control VM was named"};
    for (const endpoint &server : client.servers) {
        try {
            const http_answer answer =
                httpCall(server, {.method = "POST", .target = "/v1/changes", .token = client.token, .body = body});
            last = parseChangeAnswerJson(textOf(answer.body));
            if (last.code != result_code::NotLeader && last.code != result_code::ChangeOutcomeUnknown) {
                return last;
            }
            mayBeAccepted = mayBeAccepted || last.code == result_code::ChangeOutcomeUnknown;
        } catch (const coordination_error &error) {
            mayBeAccepted = mayBeAccepted || error.code() != result_code::ConnectFailed;
            last = {.code = error.code(), .text = error.what()};
        }
    }
    if (mayBeAccepted) {
        throw coordination_error(result_code::ChangeOutcomeUnknown, "no control VM gave an answer: " + last.text);
    }
    return last;
}

confirmation_status awaitConfirmation(const operator_client &client, revision accepted, duration limit)
{
    confirmation_status known;
    known.json = nlohmann::ordered_json{{"code", static_cast<int>(known.code)},
                                        {"name", describe(known.code).name},
                                        {"revision", accepted.value},
                                        {"state", "accepted"},
                                        {"text", "no leader could say which VMs have confirmed; ask again"}}
                     .dump();
    const auto end = std::chrono::steady_clock::now() + limit;
    pollConfirmationStatus(client, accepted, known);
    while (known.code != result_code::Ok && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(confirmationPollPeriod);
        pollConfirmationStatus(client, accepted, known);
    }
    return known;
}

change_id randomChangeId()
{
    change_id id;
    randombytes_buf(&id, sizeof id);
    return id;
}

} // namespace guavafront
