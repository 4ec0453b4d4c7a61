#pragma once

#include <guavafront/coordination/core/result_code.h>
#include <guavafront/coordination/core/time.h>

#include <cstdint>

namespace guavafront
{

/// What is known about the execution of a request that gets no whole answer.
enum class execution : std::uint8_t {
    NotRun, ///< Proved: no byte reached an upstream, or the upstream refused before running it.
    Unknown, ///< It may have run once.
};

/// The one way to refuse a request, whatever the reason.
struct refusal {
    result_code code = result_code::Ok; ///< Numbered reason.
    execution ran = execution::NotRun; ///< Whether the request can have run.
    duration retryAfter{}; ///< When a resend is worth trying; 0 when nothing is known.

    /// Memberwise equality.
    bool operator==(const refusal &) const = default;
};

} // namespace guavafront
