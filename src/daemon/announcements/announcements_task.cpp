#include "daemon/announcements/announcements_task.h"

#include "daemon/token_check.h"
#include "http/header_filter.h"
#include "wire/announcement_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <utility>

namespace guavafront
{

namespace
{

constexpr int statusNoContent = 204;

duration defaultLeaseOf(const fleet_defaults &defaults)
{
    return std::chrono::milliseconds(defaults.announcementLeaseMs);
}

} // namespace

announcements_task::announcements_task(loop &owner, announcements_task_options options,
                                       mailbox<std::shared_ptr<const configuration>> &inbox,
                                       mailbox<entry_event> &entries, daemon_counters &counters)
    : m_serviceToken(std::move(options.serviceToken))
    , m_entries(entries)
    , m_counters(counters)
    , m_defaultLease(defaultLeaseOf({}))
    , m_server(owner, std::move(options.server),
               {.onRequest = [this](exchange_id id, const http_request &request) { receive(id, request); },
                .onCallerGone =
                    [](exchange_id) {
                    }})
    , m_attachment(inbox, owner, [this](const std::shared_ptr<const configuration> &current) {
        m_defaultLease = defaultLeaseOf(current->defaults);
    })
{
}

void announcements_task::receive(exchange_id id, const http_request &request)
{
    try {
        acceptAnnouncement(request);
        m_counters.countAnnouncement(result_code::Ok);
        m_server.answer(id, {.status = statusNoContent, .headers = {}, .body = {}});
    } catch (const coordination_error &error) {
        m_counters.countAnnouncement(error.code());
        m_server.answer(id, problemAnswer(error.code(), error.what()));
    }
}

void announcements_task::acceptAnnouncement(const http_request &request)
{
    if (request.method != "POST" || request.path != "/v1/announcements") {
        throw coordination_error(result_code::NoRoute, "announcements go to POST /v1/announcements");
    }
    if (!tokenMatches(callerKey(request.headers), m_serviceToken)) {
        throw coordination_error(result_code::AnnouncementRefused, "the service token is missing or wrong");
    }
    if (!m_entries.post(instance_announced{parseAnnouncementJson(textOf(request.body), m_defaultLease)})) {
        throw coordination_error(result_code::EntryOverloaded, "the entry task is behind; announce again");
    }
}

} // namespace guavafront
