#pragma once

#include "soak/soak_plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// One attempt of an operator to send a configuration.
struct sent_change {
    std::size_t change = 0; ///< Index in the plan.
    std::uint64_t version = 0; ///< Version in the document.
    bool again = false; ///< Whether it had been acknowledged before to the same operator.
    instant sentAt{}; ///< When it was sent.
    instant endedAt{}; ///< When the answer was complete or the attempt had failed.
    int status = 0; ///< Status of the answer; 0 for none.
    std::string vm; ///< Control VM that answered, or the first that was asked.
};

/// One answer 200 to a read of the configuration.
struct seen_read {
    instant sentAt{}; ///< When the read was sent.
    instant endedAt{}; ///< When the answer was complete.
    std::uint64_t version = 0; ///< Version in the document.
    bool asSent = false; ///< Whether the document is the one that was sent under the version.
    std::string vm; ///< Control VM that was asked.
};

/// One request to an entry VM.
struct seen_request {
    std::string vm; ///< Entry VM.
    std::string id; ///< Its Request-Id.
    int route = 0; ///< Later route; 0 for the first ones, -1 minus the number of a bait route.
    bool once = false; ///< Whether its route's requests may run at most once.
    instant sentAt{}; ///< When it was sent.
    instant endedAt{}; ///< When its answer was complete or its connection had ended.
    int status = 0; ///< Status of the answer; 0 for none.
    bool cut = false; ///< No answer came, though some bytes of the request may have been sent.
};

/// How a VM was disturbed.
enum class disturbance_kind : std::uint8_t {
    Down, ///< Killed, and started again or replaced.
    Stopped, ///< SIGTERM, then started again.
    Frozen, ///< SIGSTOP until SIGCONT.
    Reloaded, ///< SIGHUP.
};

/// A time in which a VM was disturbed by the soak.
struct disturbance {
    std::string vm; ///< VM.
    disturbance_kind kind = disturbance_kind::Down; ///< What happened.
    bool control = false; ///< Whether it is a control VM.
    instant from{}; ///< Its begin.
    instant to{}; ///< When the VM's process had been started again or went on.
};

/// A request as an instance saw it.
struct seen_arrival {
    instant at{}; ///< When it arrived.
    std::string instance; ///< Instance.
    std::string id; ///< Its Request-Id.
};

/// An evacuation that was acknowledged.
struct seen_evacuation {
    instant acknowledgedAt{}; ///< When the order was acknowledged.
    instant revokedAt = instant::max(); ///< When the revocation was sent first.
    std::vector<std::string> instances; ///< Instances in the data centre.
};

/// What every control VM gave after the final fault.
struct final_read {
    std::string vm; ///< Control VM.
    bool came = false; ///< Whether it answered 200.
    std::uint64_t version = 0; ///< Version that it gave.
    bool asSent = false; ///< Whether the document is the one that was sent under the version.
    duration after{}; ///< Time from the start of the last process to the answer.
    std::string last; ///< Status and body of its last answer; empty when it gave none.
};

/// What callers, instances and operators saw in one soak.
struct soak_record {
    instant startedAt{}; ///< Begin of the plan.
    std::size_t controls = 5; ///< Control VMs at any time, running or not.
    std::vector<planned_change> changes; ///< All configurations, as in the plan.
    std::vector<sent_change> sent; ///< Attempts to send one.
    std::vector<seen_read> reads; ///< Answers to reads.
    std::vector<seen_request> requests; ///< Requests to entry VMs.
    std::vector<disturbance> disturbances; ///< Faults and planned work.
    std::vector<seen_arrival> arrivals; ///< Requests at instances.
    std::vector<seen_evacuation> evacuations; ///< Acknowledged evacuations.
    std::vector<std::string> ended; ///< VMs whose process ended by itself.
    bool finalAcknowledged = false; ///< Whether the last change, sent in calm, was acknowledged.
    std::vector<final_read> finalReads; ///< Answers after the final fault.
};

} // namespace guavafront
