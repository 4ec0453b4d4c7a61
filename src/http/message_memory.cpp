#include "http/message_memory.h"

#include <algorithm>
#include <utility>

namespace guavafront
{

message_memory::message_memory(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t message_memory::heldBytes() const
{
    return m_heldBytes;
}

std::size_t message_memory::messageLimitBytes() const
{
    return m_limitBytes / 2;
}

void message_memory::change(std::size_t from, std::size_t to)
{
    m_heldBytes = m_heldBytes - from + to;
}

void message_memory::freeExcess()
{
    while (m_heldBytes > m_limitBytes) {
        const auto largest = std::ranges::max_element(
            m_shares, {}, [](const memory_share *each) { return each->m_evictable ? each->m_bytes : 0; });
        if (largest == m_shares.end() || !(*largest)->m_evictable || (*largest)->m_bytes == 0) {
            return;
        }
        memory_share &share = **largest;
        share.m_evict();
        share.hold(0);
    }
}

memory_share::memory_share(message_memory *memory, std::function<void()> evict)
    : m_memory(memory)
    , m_evict(std::move(evict))
{
    if (m_memory) {
        m_memory->m_shares.push_back(this);
    }
}

memory_share::~memory_share()
{
    if (m_memory) {
        m_memory->change(m_bytes, 0);
        std::erase(m_memory->m_shares, this);
    }
}

bool memory_share::hold(std::size_t bytes, bool evictable)
{
    if (!m_memory) {
        return true;
    }
    const bool grows = bytes > m_bytes;
    m_memory->change(m_bytes, bytes);
    m_bytes = bytes;
    m_evictable = evictable;
    if (grows) {
        m_memory->freeExcess();
    }
    return m_bytes == bytes;
}

} // namespace guavafront
