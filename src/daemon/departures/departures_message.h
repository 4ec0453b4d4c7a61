#pragma once

#include <guavafront/coordination/departures/departures.h>

#include <functional>
#include <variant>

namespace guavafront
{

/// An instance told this VM its departure.
struct departure_submitted {
    departure what; ///< The departure.
    /// Called exactly once, on the departures task's thread: whether the departure is held and may be acknowledged.
    std::function<void(bool)> answer;
};

/// Messages that the departures task receives.
using departures_inbox_message =
    std::variant<departure_submitted, departure_message_received, departure_voters_changed, departure_vms_changed>;

} // namespace guavafront
