#include "scenarios/relay_task.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <utility>

namespace guavafront
{

namespace
{

/// IPv4 address of the peer of a socket.
std::string sourceIpOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    std::array<char, INET_ADDRSTRLEN> text{};
    getpeername(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return text.data();
}

} // namespace

void relay_task::socket_deleter::operator()(bufferevent *owned) const
{
    bufferevent_free(owned);
}

relay_task::relay_task(loop &owner, mailbox<relay_message> &inbox, std::promise<std::uint16_t> &boundPort)
    : m_loop(owner)
    , m_removalTimer(owner,
                     [this] { m_connections.remove_if([](const relayed_connection &each) { return each.closed; }); })
    , m_listener(std::make_unique<listener>(owner, "127.0.0.1:0", [this](bufferevent *socket) { accept(socket); }))
    , m_address("127.0.0.1:" + std::to_string(m_listener->port()))
    , m_attachment(inbox, owner, [this](relay_message message) { receive(std::move(message)); })
{
    boundPort.set_value(m_listener->port());
}

relay_task::~relay_task() = default;

void relay_task::receive(relay_message message)
{
    std::visit([this](auto &each) { handle(each); }, message);
}

void relay_task::handle(const set_relay_target &message)
{
    m_target = message.target;
    if (!m_target) {
        m_listener.reset();
    } else if (!m_listener) {
        m_listener = std::make_unique<listener>(m_loop, m_address, [this](bufferevent *socket) { accept(socket); });
    }
}

void relay_task::handle(const set_relay_mode &message)
{
    m_modes.push_back(message);
    applyModes();
}

void relay_task::handle(const silence_connections & /*message*/)
{
    for (relayed_connection &each : m_connections) {
        each.silent = true;
    }
}

void relay_task::handle(count_held_bytes &message)
{
    const auto direction = static_cast<std::size_t>(message.direction);
    std::size_t bytes = 0;
    for (const relayed_connection &each : m_connections) {
        if (each.closed || each.silent) { // Silenced connections never forward the bytes that they hold.
            continue;
        }
        bytes += evbuffer_get_length(bufferevent_get_input(each.sources[direction].socket.get()));
        bytes += evbuffer_get_length(bufferevent_get_output(each.sources[1 - direction].socket.get()));
    }
    message.reply.set_value(bytes);
}

void relay_task::accept(bufferevent *socket)
{
    bufferevent *ownerSocket = m_target ? openConnection(m_loop, toText(*m_target)) : nullptr;
    if (!ownerSocket) {
        bufferevent_free(socket);
        return;
    }
    relayed_connection &opened = m_connections.emplace_back();
    opened.owner = this;
    opened.sourceIp = sourceIpOf(bufferevent_getfd(socket));
    opened.sources[static_cast<std::size_t>(link_direction::Towards)].socket.reset(socket);
    opened.sources[static_cast<std::size_t>(link_direction::Away)].socket.reset(ownerSocket);
    for (std::size_t direction = 0; direction < directions; ++direction) {
        opened.delays[direction] =
            std::make_unique<timer>(m_loop, [this, &opened, direction] { forward(opened, direction); });
        bufferevent *each = opened.sources[direction].socket.get();
        bufferevent_setcb(each, socketChanged, socketChanged, socketEvent, &opened);
        bufferevent_enable(each, EV_READ | EV_WRITE);
    }
}

const set_relay_mode &relay_task::modeOf(const relayed_connection &connection, std::size_t direction) const
{
    static const set_relay_mode pass;
    const auto latest = std::ranges::find_if(m_modes.rbegin(), m_modes.rend(), [&](const set_relay_mode &each) {
        return static_cast<std::size_t>(each.direction) == direction
               && (each.sourceIp.empty() || each.sourceIp == connection.sourceIp);
    });
    return latest == m_modes.rend() ? pass : *latest;
}

void relay_task::applyModes()
{
    for (relayed_connection &each : m_connections) {
        for (std::size_t direction = 0; direction < directions; ++direction) {
            applyMode(each, direction);
        }
    }
}

void relay_task::applyMode(relayed_connection &connection, std::size_t direction)
{
    if (connection.closed || connection.silent) {
        return;
    }
    const bool hasBytes = evbuffer_get_length(bufferevent_get_input(connection.sources[direction].socket.get())) > 0;
    const set_relay_mode &mode = modeOf(connection, direction);
    switch (mode.mode) {
    case link_mode::Hold:
        break;
    case link_mode::Reset:
        if (hasBytes) {
            scheduleClose(connection);
        }
        break;
    case link_mode::Delay:
        if (hasBytes || connection.sources[direction].ended) {
            connection.delays[direction]->arm(mode.delay);
        }
        break;
    case link_mode::Pass:
        forward(connection, direction);
        break;
    }
}

void relay_task::forward(relayed_connection &connection, std::size_t direction)
{
    relay_end &source = connection.sources[direction];
    bufferevent *target = connection.sources[1 - direction].socket.get();
    if (connection.closed) {
        return;
    }
    bufferevent_write_buffer(target, bufferevent_get_input(source.socket.get()));
    const bool written = evbuffer_get_length(bufferevent_get_output(target)) == 0;
    if (source.ended && (written || connection.sources[1 - direction].ended)) {
        scheduleClose(connection);
    }
}

void relay_task::scheduleClose(relayed_connection &connection)
{
    connection.closed = true;
    m_removalTimer.arm(duration::zero());
}

void relay_task::socketChanged(bufferevent * /*socket*/, void *connection)
{
    auto *changed = static_cast<relayed_connection *>(connection);
    changed->owner->m_loop.guard([changed] {
        for (std::size_t direction = 0; direction < directions; ++direction) {
            changed->owner->applyMode(*changed, direction);
        }
    });
}

void relay_task::socketEvent(bufferevent *socket, short events, void *connection)
{
    auto *changed = static_cast<relayed_connection *>(connection);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        for (relay_end &each : changed->sources) {
            each.ended = each.ended || each.socket.get() == socket;
        }
    }
    socketChanged(socket, connection);
}

} // namespace guavafront
