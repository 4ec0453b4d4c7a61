#pragma once

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/entry/attempt_result.h>
#include <guavafront/coordination/upstreams/service_instance_counts.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace guavafront
{

/// Counters of one daemon. Tasks raise them, the metrics task collects them; the library's own atomics make that safe,
/// which is the one exception to tasks sharing no state.
class daemon_counters
{
public:
    /// Counters at zero, registered in a registry of their own.
    daemon_counters();

    /// An answered or refused request; code is Ok for an upstream's answer. Accounts are "" on open routes.
    void countRequest(std::string_view service, std::string_view accountName, result_code code, std::uint16_t status);

    /// Time from a request's arrival to its end.
    void observeLatency(std::string_view service, double seconds);

    /// End of a try at an upstream.
    void countAttempt(std::string_view service, attempt_outcome outcome);

    /// How many instances of a service are avoided, as this VM holds it.
    void setInstanceCounts(std::string_view service, const service_instance_counts &counts);

    /// Revision in force on this VM.
    void setRevision(std::uint64_t value);

    /// An announcement taken or refused.
    void countAnnouncement(result_code code);

    /// A message of another VM that was dropped, by reason.
    void countDroppedPeerMessage(result_code code);

    /// An operator's request by result.
    void countOperatorRequest(result_code code);

    /// The registry, for the metrics task.
    prometheus::Registry &registry();

private:
    prometheus::Registry m_registry; ///< Owns all families.
    prometheus::Family<prometheus::Counter> &m_requests; ///< By service and result.
    prometheus::Family<prometheus::Counter> &m_accountRequests; ///< By client account and result.
    prometheus::Family<prometheus::Histogram> &m_latencies; ///< By service.
    prometheus::Family<prometheus::Counter> &m_attempts; ///< By service and outcome.
    prometheus::Family<prometheus::Counter> &m_announcements; ///< By result.
    prometheus::Family<prometheus::Counter> &m_operatorRequests; ///< By result.
    prometheus::Family<prometheus::Counter> &m_droppedPeerMessages; ///< Dropped, by reason.
    prometheus::Family<prometheus::Gauge> &m_instances; ///< By service and standing.
    prometheus::Gauge &m_revision; ///< In force.
};

/// Stable name of an outcome, for counters.
std::string_view attemptOutcomeName(attempt_outcome outcome);

} // namespace guavafront
