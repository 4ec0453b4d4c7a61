#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace guavafront
{

class memory_share;

/// Memory limit that the connections of one loop share for the messages that they receive and send. While the total is
/// over the limit, the connection that holds most gives its message up, so that one endless message doesn't take the
/// memory from the others. Use it on the loop's thread only.
class message_memory
{
public:
    /// Creates a limit for the sum of all shares.
    explicit message_memory(std::size_t limitBytes);
    message_memory(const message_memory &) = delete;
    message_memory &operator=(const message_memory &) = delete;

    /// Bytes held by all shares.
    std::size_t heldBytes() const;

    /// Largest message that one connection may hold.
    std::size_t messageLimitBytes() const;

private:
    friend class memory_share;
    void change(std::size_t from, std::size_t to);
    void freeExcess();

    const std::size_t m_limitBytes; ///< Limit of the sum.
    std::size_t m_heldBytes = 0; ///< See heldBytes().
    std::vector<memory_share *> m_shares; ///< Shares that hold memory or held some before, oldest first; not owned.
};

/// Part of a message_memory that one connection holds.
class memory_share
{
public:
    /// Share of memory, which may be null for no limit and must outlive the share. evict makes the connection give up
    /// its message; it must call hold(0) and mustn't destroy a connection.
    memory_share(message_memory *memory, std::function<void()> evict);
    ~memory_share();
    memory_share(const memory_share &) = delete;
    memory_share &operator=(const memory_share &) = delete;

    /// Sets how many bytes the connection holds, and whether it can give them up. May call evict of any connection,
    /// this one included. Returns whether this one may keep its bytes.
    bool hold(std::size_t bytes, bool evictable = true);

private:
    friend class message_memory;

    message_memory *m_memory; ///< Not owned; may be null.
    std::function<void()> m_evict; ///< See the constructor.
    std::size_t m_bytes = 0; ///< Bytes held.
    bool m_evictable = false; ///< Whether the bytes can be given up.
};

} // namespace guavafront
