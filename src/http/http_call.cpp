#include "http/http_call.h"

#include "http/upstream_connection.h"
#include "runtime/loop.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <string>
#include <vector>

namespace guavafront
{

http_answer httpCall(const endpoint &server, const http_call_request &request)
{
    std::vector<http_header> headers{{"Host", toText(server)}};
    if (!request.token.empty()) {
        headers.push_back({"Authorization", "Bearer " + std::string(request.token)});
    }
    if (!request.body.empty()) {
        headers.push_back({"Content-Type", "application/json"});
    }
    headers.insert(headers.end(), request.headers.begin(), request.headers.end());
    const std::vector<header_view> views = viewsOf(headers);
    loop events;
    upstream_outcome outcome;
    upstream_connection connection(events, {.address = server.ip, .port = server.port}, [] {});
    connection.send({.method = request.method,
                     .target = request.target,
                     .headers = views,
                     .body = bytesOf(request.body),
                     .timeout = request.timeout},
                    [&outcome, &events](upstream_outcome ended) {
                        outcome = std::move(ended);
                        events.stop();
                    });
    events.run();
    if (outcome.result == upstream_result::Answered) {
        return std::move(outcome.answer);
    }
    const bool unsent = !outcome.mayHaveBeenSent;
    throw coordination_error(
        unsent ? result_code::ConnectFailed : result_code::OutcomeUnknown,
        toText(server) + (unsent ? ": connection failed, nothing was sent" : ": no complete answer was received"));
}

} // namespace guavafront
