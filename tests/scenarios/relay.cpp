#include "scenarios/relay.h"

#include "scenarios/relay_task.h"

namespace guavafront
{

namespace
{

constexpr std::size_t inboxCapacity = 1024;

} // namespace

relay::relay()
    : m_inbox(inboxCapacity)
    , m_thread([this] {
        const relay_task task(m_loop, m_inbox, m_boundPort);
        m_loop.run();
    })
{
    m_port = m_boundPort.get_future().get();
}

relay::~relay()
{
    m_loop.requestStop();
    m_thread.join();
}

std::uint16_t relay::port() const
{
    return m_port;
}

void relay::post(relay_message message)
{
    m_inbox.post(std::move(message));
}

std::size_t relay::heldBytes(link_direction direction)
{
    count_held_bytes message{.direction = direction, .reply = {}};
    std::future<std::size_t> answer = message.reply.get_future();
    post(std::move(message));
    return answer.get();
}

} // namespace guavafront
