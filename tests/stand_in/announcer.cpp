#include "stand_in/announcer.h"

#include "wire/announcement_json.h"

#include <utility>

namespace guavafront
{

namespace
{

constexpr duration answerTimeout = std::chrono::milliseconds(500);
constexpr int announcementsPerLease = 3;
constexpr int firstFailureStatus = 300;

} // namespace

announcer::announcer(loop &owner, std::vector<endpoint> targets, std::string token,
                     std::function<announcement()> currentAnnouncement)
    : m_loop(owner)
    , m_targets(std::move(targets))
    , m_token(std::move(token))
    , m_currentAnnouncement(std::move(currentAnnouncement))
    , m_announceTimer(owner, [this] { send(); })
{
}

void announcer::announceNow()
{
    m_announceTimer.arm(duration::zero());
}

void announcer::send()
{
    if (m_targets.empty()) {
        return;
    }
    const endpoint &target = m_targets[m_targetIndex % m_targets.size()];
    announcement message = m_currentAnnouncement();
    message.sequence = ++m_sequence;
    const std::string body = toJson(message);
    const std::string authorization = "Bearer " + m_token;
    const std::string host = toText(target);
    const header_view headers[] = {
        {.name = "Host", .value = host},
        {.name = "Authorization", .value = authorization},
        {.name = "Content-Type", .value = "application/json"},
    };
    m_connection = std::make_unique<upstream_connection>(
        m_loop, upstream_connection_options{.address = target.ip, .port = target.port}, [] {});
    m_connection->send({.method = "POST",
                        .target = "/v1/announcements",
                        .headers = headers,
                        .body = bytesOf(body),
                        .timeout = answerTimeout},
                       [this](const upstream_outcome &outcome) { onAnswer(outcome); });
    m_announceTimer.arm(message.lease / announcementsPerLease);
}

void announcer::onAnswer(const upstream_outcome &outcome)
{
    if (outcome.result != upstream_result::Answered || outcome.answer.status >= firstFailureStatus) {
        ++m_targetIndex; // Sends the next announcement to another entry VM, which may be reachable.
    }
}

} // namespace guavafront
