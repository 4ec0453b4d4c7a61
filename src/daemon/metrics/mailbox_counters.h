#pragma once

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavafront
{

/// Exports how many messages the tasks' mailboxes have dropped because they were full, and logs each increase. To be
/// used by one thread only.
class mailbox_counters
{
public:
    /// Registers the metric family. The registry must outlive the counters.
    explicit mailbox_counters(prometheus::Registry &registry);

    /// Records the number of messages that a mailbox has dropped so far.
    void set(std::string_view mailbox, std::uint64_t rejected);

private:
    prometheus::Family<prometheus::Counter> &m_dropped; ///< Dropped messages, by mailbox.
    std::map<std::string, std::uint64_t, std::less<>> m_known; ///< Last recorded number, by mailbox.
};

} // namespace guavafront
