#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavafront
{

/// When an instance may be chosen.
enum class rotation_state : std::uint8_t {
    InRotation, ///< For every request.
    Returning, ///< Not proved again: for repeatable requests, for others when nothing else has a slot.
    LastResort, ///< Out of rotation: only for repeatable requests, when nothing else has a slot.
};

/// What the balancer weighs of one instance, kept small and together for the hot path.
struct candidate {
    instance_id instance; ///< The instance.
    instant lastAnswerAt{}; ///< When latencyUs was last updated.
    float latencyUs = 0; ///< Moving average of answers' latency as seen here, trip included; 0 before the first.
    float weight = 1; ///< Share of its turns that it takes, 0 to 1; 0 takes it out.
    rotation_state rotation = rotation_state::InRotation; ///< When it may be chosen.
    std::uint16_t slots = 1; ///< Requests it runs at once.
    std::uint16_t outstanding = 0; ///< Requests of this VM that it runs now.
    std::uint16_t sentSinceReport = 0; ///< Requests of this VM since it last told its load.
    float reportedLoad = 0; ///< Requests that ran and waited there when it last told.
    instant connectionKeptUntil{}; ///< A connection to it is likely kept open until then.
    instant fullUntil{}; ///< It refused a request for want of room lately.
    instant loadReportedAt{}; ///< When it last told; the beginning of time before.
};

/// Instances of one service that this VM may choose from: those in its data centre first, each part ordered by id.
struct candidate_set {
    std::vector<candidate> members; ///< Near ones, then far ones.
    std::uint32_t nearCount = 0; ///< How many of them are near.
    std::uint32_t roundRobinIndex = 0; ///< Counter of the round robin policy.
    std::uint32_t sampleCount = 0; ///< Answers that typicalLatencyUs is made of, up to the length of its memory.
    float typicalLatencyUs = 5'000; ///< Moving average over all; stands in before an instance's first answer.
};

/// Where this VM stands and how much it may connect to.
struct subset_options {
    vm_id self; ///< Seeds the choice of the subset.
    std::string_view dataCentre; ///< Of this VM.
    std::uint32_t maxPerPart = 24; ///< Near and far instances of one service that this VM uses at most, each.
};

/// Replaces the members by the serving ones of a service, bounded to this VM's subset; what was measured of those that
/// stay is kept.
void updateMembers(candidate_set &set, std::span<const registered_instance> instances, const subset_options &options);

/// The member; null when it isn't one.
candidate *findCandidate(candidate_set &set, instance_id instance);

/// A request was handed to the member.
void onRequestSent(candidate &member);

/// The request ended without an answer that says anything of latency.
void onRequestEnded(candidate &member);

/// The member told its load with an answer.
void onLoadReported(candidate &member, std::uint32_t load, instant now);

/// Lets the averages of members without recent answers drift to the typical latency, so that an instance which has
/// recovered is tried again; call a few times a second.
void driftStaleLatencies(candidate_set &set, instant now);

/// The request was answered; latency runs from sending to the whole answer.
void onRequestAnswered(candidate_set &set, candidate &member, duration latency, instant now);

} // namespace guavafront
