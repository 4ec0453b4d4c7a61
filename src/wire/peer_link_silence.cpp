// The part of peer_link that asks the peer what has arrived, and finds out that the link is silent.
#include "wire/peer_link.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace guavafront
{

namespace
{

/// A timer that is later than this shows that the loop was busy, and may have answers yet to read.
constexpr duration noticedDelay = std::chrono::milliseconds(100);
/// Time between two reports that a link is silent.
constexpr duration silentReportPeriod = std::chrono::milliseconds(400);

} // namespace

void peer_link::handleTimer()
{
    if (!ready()) {
        close(link_end::HandshakeTimeout);
        return;
    }
    const instant now = loop::now();
    noteDelay(std::exchange(m_armedFor, instant::max()), now);
    if (now >= m_nextKeepalive) {
        const duration silence = now - m_lastReceived;
        if (silence >= m_options.limits.silenceLimit) {
            close(link_end::Silent);
            return;
        }
        m_nextKeepalive = now + m_options.limits.keepalivePeriod;
        if (silence >= m_options.limits.keepalivePeriod && isResumable()) {
            requestAnswer(m_delivery, now);
        } else if (silence >= m_options.limits.keepalivePeriod) {
            m_session->ping();
        }
    }
    checkDelivery();
}

/// Gives the peer's answer more time if this VM is late for what was due.
void peer_link::noteDelay(instant due, instant now)
{
    if (now - due > noticedDelay) {
        extendAnswerTime(m_delivery, now);
    }
}

/// Sends the question that is due, or reports that the answer is overdue.
void peer_link::checkDelivery()
{
    const instant now = loop::now();
    noteDelay(m_armedFor, now);
    if (const std::optional<std::uint64_t> number = takeQuestion(m_delivery, now)) {
        m_session->ping(std::to_string(*number));
    } else if (isSilent()) {
        m_events.silent();
    }
    armTimer();
}

void peer_link::armTimer()
{
    if (m_closed) {
        return;
    }
    const instant now = loop::now();
    const instant delivery = isSilent() ? now + silentReportPeriod : nextDeliveryCheck(m_delivery);
    const instant due = std::max(now, std::min(m_nextKeepalive, delivery));
    if (due == m_armedFor) {
        return;
    }
    m_armedFor = due;
    m_timer.arm(due - now);
}

} // namespace guavafront
