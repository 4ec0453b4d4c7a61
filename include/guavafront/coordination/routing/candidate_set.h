#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/loads/instance_load.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Which requests a member may be chosen for.
enum class rotation_state : std::uint8_t {
    InRotation, ///< All requests.
    Returning, ///< Repeatable requests; others when no member in rotation has a free slot.
    LastResort, ///< The member is out of rotation: repeatable requests, when no other member has a free slot.
};

/// What the balancer knows of one instance, kept small and contiguous for the hot path.
struct candidate {
    instance_id instance; ///< The instance.
    instant lastAnswerAt{}; ///< When latencyUs was last updated by an answer.
    float latencyUs = 0; ///< Moving average of the latency seen at this VM, network included; 0 before an answer.
    float weight = 1; ///< Share of draws that the member accepts, 0 to 1; with 0 it is never chosen.
    rotation_state rotation = rotation_state::InRotation; ///< Which requests it may be chosen for.
    std::uint16_t slots = 1; ///< Requests that the instance runs at once.
    std::uint16_t outstanding = 0; ///< Unanswered requests of this VM at the instance.
    std::uint16_t sentSinceReport = 0; ///< Requests that this VM sent since loadReportedAt.
    float reportedLoad = 0; ///< Requests that ran or waited at the instance at loadReportedAt.
    instant connectionKeptUntil{}; ///< Until then an idle connection to the instance is probably open.
    instant fullUntil{}; ///< Until then the instance counts as full, since it refused a request for lack of room.
    instant loadReportedAt{}; ///< Time of reportedLoad; the beginning of time before the first report.
    float outstandingWorkUs = 0; ///< Expected work of this VM's unanswered requests, in microseconds.
    float sentWorkUs = 0; ///< Expected work of the requests that this VM sent since loadReportedAt, in microseconds.
    float reportedWorkUs = 0; ///< Expected work of reportedLoad's requests in microseconds; 0 when it wasn't reported.
    float slowness = 1; ///< Moving average of observed to expected time, whatever kinds of requests ran there.
    instant slownessAt{}; ///< When slowness was last updated.
    /// When the instance last got a request of any VM, by this VM's requests and rises of the hubs' sums; the beginning
    /// of time before the first one. A request that runs for long is no further use.
    instant lastUsedAt{};
    std::uint32_t lastSum = 0; ///< Requests at the instance by the last sum that a hub sent.
};

/// Instances of one service that this VM may choose from, called members. The near ones, in this VM's data centre, come
/// first; near and far ones are each ordered by id.
struct candidate_set {
    std::vector<candidate> members; ///< Near ones, then far ones.
    std::uint32_t nearCount = 0; ///< Number of near members.
    std::uint32_t roundRobinIndex = 0; ///< Index after the member that balancing_policy::RoundRobin chose last.
    std::uint32_t sampleCount = 0; ///< Answers averaged in typicalLatencyUs, counted up to a bound.
    float typicalLatencyUs = 5'000; ///< Moving average over all members, used for those without an answer yet.
};

/// How this VM's members are selected from all instances of a service.
struct subset_options {
    vm_id self; ///< This VM, on which the selected subset depends.
    std::string_view dataCentre; ///< Data centre of this VM.
    std::uint32_t maxPerPart = 24; ///< Bound of the near members, and equally of the far ones.
};

/// Replaces the members by this VM's subset of a service's serving instances. The measurements of members that stay are
/// kept.
void updateMembers(candidate_set &set, std::span<const registered_instance> instances, const subset_options &options);

/// Finds the member for an instance; null when the instance isn't a member.
candidate *findCandidate(candidate_set &set, instance_id instance);

/// Counts a request that is sent to the member; work is its expected service time.
void onRequestSent(candidate &member, duration work = {});

/// Counts the end of a request whose latency says nothing about the member; work is the same as when it was sent.
void onRequestEnded(candidate &member, duration work = {});

/// Records a load that a hub reported, as of the given time. It replaces an older one.
void applyReportedLoad(candidate &member, const instance_load &load, instant at);

/// Records how long an answer took, and how long it was expected to take with the wait at the member.
void recordSlowness(candidate &member, duration took, duration expected, instant now);

/// The member's slowness now: without answers it returns to 1, so that an instance that has recovered is chosen again.
float slownessOf(const candidate &member, instant now);

/// Records the load that the instance reported with an answer.
void onLoadReported(candidate &member, std::uint32_t load, instant now);

/// Moves the average latency of members without a recent answer towards the typical latency, so that an instance which
/// has recovered is chosen again. To be called a few times a second.
void driftStaleLatencies(candidate_set &set, instant now);

/// Counts the end of an answered request; latency is the time from sending to the complete answer, work the same as
/// when it was sent.
void onRequestAnswered(candidate_set &set, candidate &member, duration latency, instant now, duration work = {});

} // namespace guavafront
