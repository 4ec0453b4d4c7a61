#pragma once

#include <guavafront/coordination/health/outcome.h>
#include <guavafront/coordination/routing/candidate_set.h>

#include <cstdint>
#include <map>

namespace guavafront::bench
{

/// Baseline detector at one VM: consecutive errors eject an instance, each time for longer.
struct consecutive_errors {
    /// State of one instance.
    struct instance_errors {
        std::uint32_t consecutive = 0; ///< Errors since the last good answer.
        std::uint32_t strikes = 0; ///< Ejections so far.
        instant ejectedUntil{}; ///< End of the ejection.
    };

    std::map<std::uint64_t, instance_errors> instances; ///< By instance id.
};

/// Counts an outcome and ejects the instance after five consecutive errors.
inline void onOutcome(consecutive_errors &state, const outcome &ended, instant now)
{
    constexpr std::uint32_t limit = 5;
    constexpr duration firstEjection = std::chrono::seconds(30);
    consecutive_errors::instance_errors &errors = state.instances[ended.instance.value];
    if (ended.kind == outcome_kind::Answered) {
        errors.consecutive = 0;
    } else if (ended.kind != outcome_kind::Shed && ++errors.consecutive >= limit && errors.ejectedUntil <= now) {
        errors.consecutive = 0;
        ++errors.strikes;
        errors.ejectedUntil = now + firstEjection * errors.strikes;
    }
}

/// Takes ejected members out of rotation, at most 30 % of all members.
inline void applyTo(const consecutive_errors &state, candidate_set &set, instant now)
{
    constexpr std::size_t maxPercent = 30;
    std::size_t ejectionsLeft = set.members.size() * maxPercent / 100;
    for (candidate &member : set.members) {
        const auto errors = state.instances.find(member.instance.value);
        const bool ejected = errors != state.instances.end() && errors->second.ejectedUntil > now && ejectionsLeft > 0;
        ejectionsLeft -= ejected ? 1U : 0U;
        member.rotation = ejected ? rotation_state::LastResort : rotation_state::InRotation;
    }
}

} // namespace guavafront::bench
