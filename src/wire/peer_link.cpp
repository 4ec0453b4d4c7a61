#include "wire/peer_link.h"

#include "wire/resumption_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <string>
#include <utility>

namespace guavafront
{

namespace
{

std::string_view asText(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

link_end linkEndFor(result_code code)
{
    switch (code) {
    case result_code::LinkUnauthenticated:
        return link_end::Unauthenticated;
    case result_code::MessageTooLarge:
        return link_end::TooLarge;
    case result_code::MessageUnknown:
        return link_end::UnknownChannel;
    default:
        return link_end::Malformed;
    }
}

/// Version of the control envelope that carries a statement on an ended link.
constexpr std::uint8_t resumptionVersion = 2;
/// Answers of the peer's process that each end waits for until the link is ready: of the WebSocket session and of the
/// handshake.
constexpr int handshakeRounds = 2;

/// Whether messages of the channel count among those of which the peer states how many have arrived. The others are
/// periodic and worthless later.
bool isCounted(channel kind)
{
    return kind != channel::Membership && kind != channel::Loads && kind != channel::Health;
}

delivery_urgency urgencyOf(channel kind)
{
    return kind == channel::Spread ? delivery_urgency::Relaxed : delivery_urgency::AtOnce;
}

} // namespace

bool isResentByLinks(channel kind)
{
    return isCounted(kind) && kind != channel::Replication;
}

std::string_view linkEndName(link_end reason)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(link_end::Count)> names{
        "by_owner", "connect_failed", "peer_closed", "handshake_timeout", "unauthenticated", "silent",
        "too_slow", "too_large",      "malformed",   "unknown_channel",   "replaced"};
    return names[static_cast<std::size_t>(reason)];
}

peer_link::peer_link(loop &owner, const peer_link_options &options, websocket_role role, bufferevent *socket,
                     peer_link_events events)
    : m_loop(owner)
    , m_options(options)
    , m_role(role)
    , m_socket(socket)
    , m_events(std::move(events))
    , m_timer(owner, [this] { handleTimer(); })
    , m_lastReceived(loop::now())
    , m_lastUsed(m_lastReceived)
{
    m_handshake = role == websocket_role::Client ? beginAsInitiator(options.self, makeNonce())
                                                 : beginAsResponder(options.self, makeNonce());
    m_session = std::make_unique<websocket_session>(
        role, options.limits.messageBytes + envelopeOverheadBytes,
        websocket_events{
            .write = [this](std::string_view bytes) { write(bytes); },
            .opened =
                [this] {
                    if (m_role == websocket_role::Client) {
                        sendControl(makeHello(m_handshake));
                    }
                },
            .received = [this](std::string_view bytes) { handleMessage(bytes); },
            .failed = [this](bool tooLarge) { close(tooLarge ? link_end::TooLarge : link_end::PeerClosed); },
            .answered =
                [this](std::string_view payload) {
                    handleAnswer(payload);
                }});
    bufferevent_setcb(m_socket, readCallback, nullptr, eventCallback, this);
    bufferevent_enable(m_socket, EV_READ | EV_WRITE);
    m_timer.arm(options.limits.handshakeLimit);
    m_armedFor = instant::max();
    if (role == websocket_role::Server) {
        handleConnected();
    }
}

peer_link::~peer_link()
{
    m_closed = true;
    bufferevent_free(m_socket);
}

bool peer_link::send(const envelope &message)
{
    assert(message.kind != channel::Control);
    if (!ready() || message.body.size() > m_options.limits.messageBytes) {
        return false;
    }
    m_lastUsed = loop::now();
    byte_buffer bytes = encodeEnvelope(message, m_resumable ? body_compression::IfSmaller : body_compression::Never);
    const std::string_view text = asText(bytes);
    if (!isResumable() || !isCounted(message.kind)) {
        return m_session->send(text) && !m_closed;
    }
    if (!isResentByLinks(message.kind)) {
        countSent(m_delivery, bytes.size(), loop::now());
        const bool isSent = m_session->send(text) && !m_closed;
        checkDelivery();
        return isSent;
    }
    // Moving the bytes leaves them where they are; a link that ends while it sends takes the message along.
    keepSent(m_delivery, std::move(bytes), urgencyOf(message.kind), loop::now());
    if (m_session->send(text) && !m_closed) {
        checkDelivery();
    }
    return true;
}

void peer_link::close(link_end reason)
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    m_timer.cancel();
    bufferevent_disable(m_socket, EV_READ | EV_WRITE);
    bufferevent_setcb(m_socket, nullptr, nullptr, nullptr, nullptr);
    m_events.closed(reason);
}

bool peer_link::ready() const
{
    return !m_closed && m_handshake.phase == handshake_phase::Done;
}

const peer_identity &peer_link::peer() const
{
    return m_handshake.peer;
}

bool peer_link::isInitiator() const
{
    return m_role == websocket_role::Client;
}

instant peer_link::lastUsed() const
{
    return m_lastUsed;
}

void peer_link::allowUrgent(std::size_t messages)
{
    m_urgentMessages = messages;
    m_urgencyUsedUp = false;
    setUrgency(event_urgency::Urgent);
}

bool peer_link::isUrgencyUsedUp() const
{
    return m_urgencyUsedUp;
}

/// Has no effect while the link's events wait to be handled; the next call for the link then has.
void peer_link::setUrgency(event_urgency urgency)
{
    bufferevent_priority_set(m_socket, static_cast<int>(urgency));
}

void peer_link::verify()
{
    if (isResumable()) {
        requestAnswer(m_delivery, loop::now());
        checkDelivery();
    }
}

bool peer_link::isSilent() const
{
    return !m_closed && guavafront::isSilent(m_delivery, loop::now());
}

bool peer_link::isResumable() const
{
    return m_resumable;
}

const link_identity &peer_link::identity() const
{
    return isInitiator() ? m_handshake.ownNonce : m_handshake.peerNonce;
}

const link_delivery &peer_link::unconfirmed() const
{
    return m_delivery;
}

link_delivery peer_link::takeDelivery()
{
    assert(m_closed);
    return std::exchange(m_delivery, {});
}

void peer_link::sendResumption(const link_resumption &statement)
{
    const byte_buffer bytes =
        encodeEnvelope({.kind = channel::Control, .version = resumptionVersion, .body = encodeResumption(statement)});
    m_session->send(asText(bytes));
}

void peer_link::readCallback(bufferevent * /*socket*/, void *self)
{
    auto *link = static_cast<peer_link *>(self);
    link->m_loop.guard([link] { link->readInput(); });
}

void peer_link::eventCallback(bufferevent * /*socket*/, short what, void *self)
{
    auto *link = static_cast<peer_link *>(self);
    link->m_loop.guard([link, what] {
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            link->handleConnected();
        } else if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF)) != 0) {
            link->close(link->m_connected ? link_end::PeerClosed : link_end::ConnectFailed);
        }
    });
}

void peer_link::handleConnected()
{
    m_connected = true;
    m_connectedAt = loop::now();
    m_session->start();
}

void peer_link::readInput()
{
    m_lastReceived = loop::now();
    evbuffer *input = bufferevent_get_input(m_socket);
    std::array<char, 4096> chunk{};
    int count = evbuffer_remove(input, chunk.data(), chunk.size());
    while (count > 0 && !m_closed) {
        m_session->receive({chunk.data(), static_cast<std::size_t>(count)});
        count = evbuffer_remove(input, chunk.data(), chunk.size());
    }
}

void peer_link::handleMessage(std::string_view bytes)
{
    if (m_closed) {
        return;
    }
    try {
        const std::size_t maxBytes = m_options.limits.messageBytes + envelopeOverheadBytes;
        envelope message = decodeEnvelope(std::as_bytes(std::span(bytes)), maxBytes);
        if (message.kind == channel::Control || !ready()) {
            handleControl(message);
            return;
        }
        m_delivery.lastReceived += isCounted(message.kind) ? 1 : 0;
        m_lastUsed = m_lastReceived;
        if (m_urgentMessages > 0 && --m_urgentMessages == 0) {
            m_urgencyUsedUp = true;
            setUrgency(event_urgency::Normal);
        }
        m_events.received(std::move(message));
    } catch (const coordination_error &error) {
        close(linkEndFor(error.code()));
    }
}

void peer_link::handleControl(const envelope &message)
{
    if (message.kind != channel::Control) {
        throw coordination_error(result_code::LinkUnauthenticated,
                                 "message received before the handshake was complete");
    }
    if (ready() && message.version == resumptionVersion) {
        m_events.resumption(decodeResumption(message.body));
        return;
    }
    const std::optional<handshake_message> reply =
        advance(m_handshake, m_options.secret, decodeHandshake(message.body));
    if (reply) {
        sendControl(*reply);
    }
    if (ready()) {
        finishHandshake();
    }
}

void peer_link::finishHandshake()
{
    m_resumable = m_session->peerResumesLinks();
    expectAnswerTime(m_delivery, (loop::now() - m_connectedAt) / handshakeRounds);
    m_nextKeepalive = loop::now() + m_options.limits.keepalivePeriod;
    armTimer();
    m_events.ready(m_handshake.peer);
}

void peer_link::sendControl(const handshake_message &message)
{
    const byte_buffer bytes = encodeEnvelope({.kind = channel::Control, .body = encodeHandshake(message)});
    m_session->send(asText(bytes));
}

void peer_link::write(std::string_view bytes)
{
    if (m_closed) {
        return;
    }
    bufferevent_write(m_socket, bytes.data(), bytes.size());
    if (evbuffer_get_length(bufferevent_get_output(m_socket)) > m_options.limits.outgoingBytes) {
        close(link_end::TooSlow);
    }
}

void peer_link::handleAnswer(std::string_view payload)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(payload.data(), payload.data() + payload.size(), number);
    if (error == std::errc() && end == payload.data() + payload.size()) {
        guavafront::handleAnswer(m_delivery, number, loop::now());
        armTimer();
    }
}

} // namespace guavafront
