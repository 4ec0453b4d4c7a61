#include "daemon/metrics/mailbox_counters.h"

#include <glog/logging.h>

#include <utility>

namespace guavafront
{

mailbox_counters::mailbox_counters(prometheus::Registry &registry)
    : m_dropped(prometheus::BuildCounter()
                    .Name("guavafront_mailbox_dropped_total")
                    .Help("Messages that a full mailbox dropped, by mailbox.")
                    .Register(registry))
{
}

void mailbox_counters::set(std::string_view mailbox, std::uint64_t rejected)
{
    const auto known = m_known.try_emplace(std::string(mailbox), 0).first;
    const std::uint64_t added = rejected - std::exchange(known->second, rejected);
    m_dropped.Add({{"mailbox", std::string(mailbox)}}).Increment(static_cast<double>(added));
    if (added > 0) {
        LOG(ERROR) << "mailbox " << mailbox << " was full: " << added << " messages dropped";
    }
}

} // namespace guavafront
