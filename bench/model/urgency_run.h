#pragma once

#include <guavafront/coordination/core/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace guavafront::bench
{

/// Requests of one route and one account.
struct request_kind {
    std::string name; ///< Name of the kind, its route and its account.
    std::uint32_t accountPriority = 0; ///< Rank of the account, 0 first.
    std::uint32_t routePriority = 0; ///< Rank of the route, 0 first.
    double requestsPerSecond = 0; ///< Rate of all callers together.
    duration work = std::chrono::milliseconds(300); ///< Mean time that a request takes in a slot.
    duration target = std::chrono::milliseconds(900); ///< Target latency.
    duration timeout = std::chrono::milliseconds(3'000); ///< How long callers wait.
    std::uint32_t resends = 0; ///< How often callers resend a refused request, at the time that the refusal gives.
    bool ignoresRetryAfter = false; ///< Callers resend 50 ms after a refusal instead.
};

/// Interval with more requests of one kind.
struct load_surge {
    std::string kind; ///< Name of the kind.
    double factor = 1; ///< Factor on its rate.
    duration from{}; ///< Start, since the start of the run.
    duration to{}; ///< End, since the start of the run.
};

/// Interval in which something fails.
struct fault_interval {
    double share = 0; ///< Share of the instances, of the requests or of the VMs.
    duration from{}; ///< Start, since the start of the run.
    duration to{}; ///< End, since the start of the run.
};

/// A run on virtual time of entry VMs with their whole decisions in front of the instances of one service.
struct urgency_options {
    bool urgencyOrder = true; ///< entry_policy::urgencyOrder.
    std::uint32_t vms = 47; ///< Entry VMs, in four data centres.
    std::uint32_t instances = 24; ///< Instances, in four data centres.
    std::uint16_t slots = 4; ///< Requests that an instance runs at once.
    std::uint32_t queue = 8; ///< Requests that wait at an instance; more are refused.
    double vmsWithLoad = 1; ///< Share of the VMs that get requests.
    std::vector<request_kind> kinds; ///< What callers send.
    std::vector<load_surge> surges; ///< Intervals with more of it.
    fault_interval refusing; ///< Instances refuse this share of the requests.
    fault_interval left; ///< This share of the instances is away.
    fault_interval restarted; ///< This share of the VMs starts with an empty state at the start of the interval.
    fault_interval silentHub; ///< No sums are sent; the share is ignored.
    duration sumDelay = std::chrono::milliseconds(10); ///< Way of a report to the hub, and of the sums to the VMs.
    duration length = std::chrono::seconds(20); ///< Time during which requests arrive.
    std::uint64_t seed = 1; ///< Seed of all random numbers.
};

/// What became of the requests of one kind that arrived in an interval.
struct kind_result {
    std::uint64_t requests = 0; ///< Requests, without resends.
    std::uint64_t served = 0; ///< Requests answered by an instance, at the first try or a resend.
    std::uint64_t inTarget = 0; ///< Requests whose answer arrived within the target after the sending that got it.
    std::uint64_t lateRefusals = 0; ///< Refusals later than a third of the target after the request arrived.
};

/// What became of the requests of a second.
struct second_result {
    kind_result all; ///< Requests of all kinds that arrived in it.
    double instanceLoad = 0; ///< Mean requests for each slot at the present instances.
    double instanceLoadDeviation = 0; ///< Standard deviation of that within the second.
    std::uint64_t instanceRefusals = 0; ///< Requests that instances refused in it.
    std::uint64_t attempts = 0; ///< Requests that were sent to instances in it.
};

/// Result of a run.
struct urgency_result {
    std::vector<kind_result> kinds; ///< By kind, of what arrived in the counted interval.
    std::vector<second_result> seconds; ///< By second of the run.
    double predictionErrorMs = 0; ///< Mean absolute error of the predicted wait of admitted requests.
    std::uint64_t predictions = 0; ///< Admitted requests that had waited.
    std::uint64_t lateRetries = 0; ///< Refusals whose Retry-After is beyond a third of the time that was left.
    double sumBytesPerSecond = 0; ///< Approximate bytes of reports and sums that one VM sends and receives a second.
};

/// Share of served requests, 0 to 1; 1 without requests.
double servedShare(const kind_result &result);

/// Share of requests answered within the target, 0 to 1; 1 without requests.
double inTargetShare(const kind_result &result);

/// Runs the model and counts by kind what arrived between from and to.
urgency_result run(const urgency_options &options, duration countFrom, duration countTo);

} // namespace guavafront::bench
