#pragma once

#include "daemon/daemon.h"
#include "daemon/peers/peers_options.h"

namespace guavafront
{

/// Who hears what comes over the links of this VM: each channel's messages are decoded and posted to their task.
peers_task_options peersOptions(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                daemon_wiring &wiring);

} // namespace guavafront
