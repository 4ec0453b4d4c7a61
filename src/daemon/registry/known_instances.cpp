#include "daemon/registry/known_instances.h"

#include "wire/catch_up_codec.h"
#include "wire/warmup_codec.h"

#include <algorithm>
#include <utility>

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

void sendWarmups(mailbox<peers_message> &peers, const send_warmups &effect)
{
    std::span<const warmup_notice> notices = effect.notices;
    while (!notices.empty()) {
        const std::span part = notices.first(std::min(notices.size(), maxWarmupNotices));
        notices = notices.subspan(part.size());
        envelope message{.kind = channel::Registry, .version = warmupVersion, .body = encodeWarmups(part)};
        if (effect.to) {
            peers.post(send_to_vm{*effect.to, std::move(message)});
        } else {
            peers.post(send_to_roles{EntryRole | ControlRole, std::move(message)});
        }
    }
}

} // namespace guavafront
