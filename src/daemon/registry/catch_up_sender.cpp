#include "daemon/registry/catch_up_sender.h"

#include "wire/catch_up_codec.h"

#include <algorithm>

namespace guavafront
{

void sendCatchUpInstances(mailbox<peers_message> &peers, vm_id to, std::span<const instance_record> missing)
{
    while (!missing.empty()) {
        const std::span part = missing.first(std::min(missing.size(), mostToldInstances));
        missing = missing.subspan(part.size());
        const instances_list message{{part.begin(), part.end()}};
        peers.post(send_to_vm{to, {.kind = channel::CatchUp, .body = encodeCatchUp(message)}});
    }
}

} // namespace guavafront
