#pragma once

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>

namespace guavafront
{

/// What is known about the execution of a request that gets no complete answer.
enum class execution : std::uint8_t {
    NotRun, ///< Proven not to have run: no byte reached an upstream, or the upstream refused before running it.
    Unknown, ///< The request may have run once.
};

/// Refusal of a request, in the one form that is used for every reason.
struct refusal {
    result_code code = result_code::Ok; ///< Reason of the refusal.
    execution ran = execution::NotRun; ///< Whether the request may have run.
    duration retryAfter{}; ///< Time after which a resend may succeed; 0 when it isn't known.

    /// Memberwise equality.
    bool operator==(const refusal &) const = default;
};

} // namespace guavafront
