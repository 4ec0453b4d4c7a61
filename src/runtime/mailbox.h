#pragma once

#include "runtime/loop.h"
#include "runtime/wakeup.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace guavafront
{

/// Bounded queue of messages to one task. It outlives the task's restarts: what is posted between two lives of the
/// task is handled by the next one.
template<class message>
class mailbox
{
public:
    /// Empty mailbox that holds at most capacity messages.
    explicit mailbox(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a message and wakes the owner; false, and counted, when full. Any thread.
    bool post(message value)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_messages.size() >= m_capacity) {
                ++m_rejected;
                return false;
            }
            m_messages.push_back(std::move(value));
            if (m_messages.size() > 1) {
                return true; // The owner was woken for the first one and takes all.
            }
        }
        m_wakeup.notify();
        return true;
    }

    /// From now on handler gets each message, in order, on owner's thread.
    void attach(loop &owner, std::function<void(message)> handler)
    {
        m_handler = std::move(handler);
        m_wakeup.attach(owner, [this] { deliver(); });
        m_wakeup.notify();
    }

    /// Messages wait until the next attach(). Loop's thread only.
    void detach()
    {
        m_wakeup.detach();
    }

    /// Messages that found the mailbox full. Any thread.
    std::uint64_t rejected() const
    {
        const std::lock_guard lock(m_mutex);
        return m_rejected;
    }

private:
    void deliver()
    {
        std::vector<message> batch;
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_messages);
        }
        for (message &next : batch) {
            m_handler(std::move(next));
        }
    }

    const std::size_t m_capacity; ///< Messages at most.
    mutable std::mutex m_mutex; ///< Guards m_messages and m_rejected.
    std::vector<message> m_messages; ///< Oldest first.
    std::uint64_t m_rejected = 0; ///< Messages that found no room.
    std::function<void(message)> m_handler; ///< The owner's.
    wakeup m_wakeup; ///< Wakes the owner's loop.
};

/// Attaches a mailbox for as long as a task's body runs.
template<class message>
class mailbox_attachment
{
public:
    /// Attaches; box and owner outlive the attachment.
    mailbox_attachment(mailbox<message> &box, loop &owner, std::function<void(message)> handler)
        : m_box(box)
    {
        m_box.attach(owner, std::move(handler));
    }

    ~mailbox_attachment()
    {
        m_box.detach();
    }

    mailbox_attachment(const mailbox_attachment &) = delete;
    mailbox_attachment &operator=(const mailbox_attachment &) = delete;

private:
    mailbox<message> &m_box; ///< Not owned.
};

} // namespace guavafront
