#include "daemon/registry/instance_teller.h"

#include "wire/catch_up_codec.h"

#include <algorithm>

namespace guavafront
{

void tellOfInstances(mailbox<peers_message> &peers, vm_id to, std::span<const instance_record> told)
{
    while (!told.empty()) {
        const std::span part = told.first(std::min(told.size(), mostToldInstances));
        told = told.subspan(part.size());
        const instances_list message{{part.begin(), part.end()}};
        peers.post(send_to_vm{to, {.kind = channel::CatchUp, .body = encodeCatchUp(message)}});
    }
}

} // namespace guavafront
