#pragma once

#include <chrono>
#include <cstdint>

namespace guavafront
{

/// Clock type without now(): decisions get the time as an argument, from whatever clock their caller uses.
struct monotonic_time {
    using rep = std::int64_t; ///< Signed count of microseconds.
    using period = std::micro; ///< One microsecond.
    using duration = std::chrono::microseconds; ///< Time between two instants.
    using time_point = std::chrono::time_point<monotonic_time, duration>; ///< Point in the VM's monotonic time.
    static constexpr bool is_steady = true; ///< Never steps backwards on one VM.
};

/// Time between two instants, in microseconds.
using duration = monotonic_time::duration;
/// Point in one VM's monotonic time; not comparable between VMs.
using instant = monotonic_time::time_point;

} // namespace guavafront
