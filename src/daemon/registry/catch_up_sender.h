#pragma once

#include "daemon/peers/peers_message.h"
#include "runtime/mailbox.h"

#include <guavafront/coordination/registry/catch_up.h>

#include <span>

namespace guavafront
{

/// Sends a VM the instances that it lacks, in as many catch-up messages as needed.
void sendCatchUpInstances(mailbox<peers_message> &peers, vm_id to, std::span<const instance_record> missing);

} // namespace guavafront
