#include "daemon/registry/known_instances.h"

#include "wire/catch_up_codec.h"

#include <algorithm>

namespace guavafront
{

void sendKnownInstances(mailbox<peers_message> &peers, vm_id to, std::span<const instance_record> instances)
{
    while (!instances.empty()) {
        const std::span part = instances.first(std::min(instances.size(), maxInstancesPerMessage));
        instances = instances.subspan(part.size());
        const instances_list message{{part.begin(), part.end()}};
        peers.post(send_to_vm{to, {.kind = channel::CatchUp, .body = encodeCatchUp(message)}});
    }
}

} // namespace guavafront
