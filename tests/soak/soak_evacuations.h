#pragma once

#include "soak/soak_callers.h"
#include "soak/soak_checks.h"

namespace guavafront
{

/// Data centre that the soak evacuates: that of the entry VMs, whose instances they prefer.
constexpr const char *evacuatedZone = "occ-a";
/// Time after the acknowledgement of an order from which on no request reaches the data centre (EvacMs).
constexpr duration evacuationTime = std::chrono::milliseconds(5'000);

/// Data centre of an instance: all but the last one run in evacuatedZone.
std::string zoneOf(const soak_scene &scene, const std::string &instance);

/// Evacuates the data centre and revokes that by the plan, until it is done or stopped. Sends each order until it is
/// acknowledged.
void playEvacuations(const std::stop_token &stop, const soak_scene &scene, std::vector<seen_evacuation> &seen);

/// Rule EVACUATED: from EvacMs after the acknowledgement until the revocation is sent, no request reaches the data
/// centre's instances. Where a configuration has more time, since control VMs were away, an order has as much.
findings checkEvacuated(const soak_record &record);

} // namespace guavafront
