#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>

namespace guavafront
{

/// How many of a service's last requests weren't served.
enum class service_loss : std::uint8_t {
    Small, ///< At most a tenth, or only a few requests.
    Notable, ///< More than a tenth.
    Severe, ///< More than a fifth.
};

/// Ends of requests within two seconds.
struct request_ends {
    std::uint32_t all = 0; ///< Requests that ended.
    std::uint32_t unserved = 0; ///< Those that no instance answered with success.
};

/// Ends of one service's requests at this VM in the last two to four seconds.
struct recent_losses {
    instant since{}; ///< Start of the present two seconds.
    request_ends present; ///< Ends in the present two seconds.
    request_ends before; ///< Ends in the two seconds before them.
};

/// Counts the end of a request.
void recordEnd(recent_losses &state, bool served, instant now);

/// How many of the last requests weren't served.
service_loss lossOf(const recent_losses &state, instant now);

} // namespace guavafront
