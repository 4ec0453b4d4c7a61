#include "daemon/metrics/metrics_task.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace guavafront
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

http_answer textAnswer(int status, std::string_view text)
{
    const std::span<const std::byte> body = bytesOf(text);
    return {.status = status,
            .headers = {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
            .body = {body.begin(), body.end()}};
}

} // namespace

metrics_task::metrics_task(loop &owner, metrics_task_options options, mailbox<metrics_message> &inbox,
                           daemon_counters &counters)
    : m_counters(counters)
    , m_readyPath(std::move(options.readyPath))
    , m_ready(options.ready)
    , m_server(owner, std::move(options.server),
               {.onRequest = [this](exchange_id id, const http_request &request) { receive(id, request); },
                .onCallerGone =
                    [](exchange_id) {
                    }})
    , m_attachment(inbox, owner,
                   [this](const metrics_message &message) { m_ready = std::get<readiness_changed>(message).ready; })
{
}

void metrics_task::receive(exchange_id id, const http_request &request)
{
    m_server.answer(id, answerFor(request));
}

http_answer metrics_task::answerFor(const http_request &request)
{
    if (request.path == "/metrics") {
        return textAnswer(statusOk, prometheus::TextSerializer().Serialize(m_counters.registry().Collect()));
    }
    if (request.path == "/live") {
        return textAnswer(statusOk, "live\n");
    }
    if (request.path == m_readyPath) {
        return m_ready ? textAnswer(statusOk, "ready\n") : textAnswer(statusUnavailable, "not ready\n");
    }
    return textAnswer(statusNotFound, "no such page\n");
}

} // namespace guavafront
