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

/// How a mailbox hands messages to its owner.
struct delivery_options {
    event_urgency urgency = event_urgency::Normal; ///< Order of the messages among the owner's other events.
    std::size_t batch = SIZE_MAX; ///< Messages that are handled before the owner's other events have their turn.
};

/// Bounded queue of messages to one task, the mailbox's owner. The mailbox outlives restarts of the task: messages
/// posted while the task isn't running are delivered to its next run.
template<class message>
class mailbox
{
public:
    /// Creates an empty mailbox that holds at most capacity messages.
    explicit mailbox(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds a message and wakes the owner. When the mailbox is full, the message is dropped and counted, and the result
    /// is false. May be called from any thread.
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
                return true; // The owner has been woken for the first message and takes the others with it.
            }
        }
        m_wakeup.notify();
        return true;
    }

    /// Calls handler with each message, in posting order, on the thread of the given loop until detach().
    void attach(loop &owner, std::function<void(message)> handler, const delivery_options &options = {})
    {
        m_handler = std::move(handler);
        m_batch = options.batch;
        m_wakeup.attach(
            owner, [this] { deliver(); }, options.urgency);
        m_wakeup.notify();
    }

    /// Stops delivery; messages are kept until the next attach(). Call it on the loop's thread only.
    void detach()
    {
        m_wakeup.detach();
    }

    /// Returns how many messages were dropped because the mailbox was full. May be called from any thread.
    std::uint64_t rejected() const
    {
        const std::lock_guard lock(m_mutex);
        return m_rejected;
    }

private:
    void deliver()
    {
        if (m_next == m_taken.size()) {
            m_taken.clear();
            m_next = 0;
            const std::lock_guard lock(m_mutex);
            m_taken.swap(m_messages);
        }
        for (std::size_t count = 0; count < m_batch && m_next < m_taken.size(); ++count) {
            m_handler(std::move(m_taken[m_next++]));
        }
        if (hasMore()) {
            m_wakeup.notify();
        }
    }

    bool hasMore() const
    {
        const std::lock_guard lock(m_mutex);
        return m_next < m_taken.size() || !m_messages.empty();
    }

    const std::size_t m_capacity; ///< Largest number of messages held.
    mutable std::mutex m_mutex; ///< Guards m_messages and m_rejected.
    std::vector<message> m_messages; ///< Messages that the owner hasn't taken, oldest first.
    std::vector<message> m_taken; ///< Messages that the owner has taken; used on its thread only.
    std::size_t m_next = 0; ///< Position in m_taken of the next message to deliver.
    std::size_t m_batch = SIZE_MAX; ///< Messages that are delivered at a time.
    std::uint64_t m_rejected = 0; ///< Messages dropped because the mailbox was full.
    std::function<void(message)> m_handler; ///< Called on the owner's thread with each message.
    wakeup m_wakeup; ///< Wakes the owner's loop when messages are posted.
};

/// Keeps a mailbox attached to a loop for the lifetime of this object, usually one run of a task's body.
template<class message>
class mailbox_attachment
{
public:
    /// Attaches the mailbox to the loop. Both must outlive the attachment.
    mailbox_attachment(mailbox<message> &box, loop &owner, std::function<void(message)> handler,
                       const delivery_options &options = {})
        : m_box(box)
    {
        m_box.attach(owner, std::move(handler), options);
    }

    ~mailbox_attachment()
    {
        m_box.detach();
    }

    mailbox_attachment(const mailbox_attachment &) = delete;
    mailbox_attachment &operator=(const mailbox_attachment &) = delete;

private:
    mailbox<message> &m_box; ///< Attached mailbox; not owned.
};

} // namespace guavafront
