#pragma once

#include "daemon/daemon.h"
#include "daemon/peers/peers_options.h"

#include <string>

namespace guavafront
{

/// Returns the address at which other VMs reach this one: peers.advertise, or else listen.peers.
std::string advertisedAddress(const daemon_settings &settings);

/// Options of the peers task, including the subscribers that decode each channel's messages and post them to the task
/// responsible for them. All arguments must outlive the peers task.
peers_task_options peersOptions(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                daemon_wiring &wiring);

} // namespace guavafront
