#pragma once

#include "daemon/peers/peers_message.h"
#include "runtime/mailbox.h"

#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/registry/catch_up.h>

#include <span>

namespace guavafront
{

/// Sends a VM the instances that it has missed, in as many messages as needed.
void sendKnownInstances(mailbox<peers_message> &peers, vm_id to, std::span<const instance_record> instances);

/// Tells other VMs which instances are cold.
void sendWarmups(mailbox<peers_message> &peers, const send_warmups &effect);

} // namespace guavafront
