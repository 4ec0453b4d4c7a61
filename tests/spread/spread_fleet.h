#pragma once

#include "membership/memory_fleet.h"

#include <guavafront/coordination/spread/spread_table.h>

namespace guavafront
{

/// Simulated fleet whose VMs replicate tables of entries, and pass beacons on, to the VMs that the membership probes.
struct spread_fleet {
    memory_fleet membership;
    std::map<vm_id, spread_table> tables;
    std::map<vm_id, beacon_state> beacons;
    spread_options options;
    std::function<void(vm_id, const spread_effect &)> onEffect = [](vm_id, const spread_effect &) {
    };

    spread_fleet()
    {
        membership.onEffect = [this](memory_fleet::vm &self, const membership_effect &effect) {
            forwardToTable(self, effect);
        };
        membership.onTick = [this](memory_fleet::vm &self) {
            react(self.state.self.id, spread_tick{});
        };
        membership.onAck = [this](memory_fleet::vm &self, membership_ack &ack) {
            ack.leaderBeacon = relayedBeacon(beacons[self.state.self.id], membership.now);
        };
        membership.onAnswered = [this](memory_fleet::vm &self, const membership_ack &ack, instant askedAt) {
            if (ack.leaderBeacon) {
                receiveBeacon(beacons[self.state.self.id], *ack.leaderBeacon, askedAt);
            }
        };
    }

    spread_table &tableOf(vm_id id)
    {
        const auto found = tables.find(id);
        return found != tables.end() ? found->second : tables.emplace(id, makeSpreadTable(id, options)).first->second;
    }

    /// Removes a VM and its memory without telling the others, as a crash does.
    void kill(vm_id id)
    {
        membership.kill(id);
        tables.erase(id);
        beacons.erase(id);
    }

    /// Passes changes of the membership on to the VM's table.
    void forwardToTable(memory_fleet::vm &self, const membership_effect &effect)
    {
        const vm_id id = self.state.self.id;
        if (const auto *change = std::get_if<member_changed>(&effect)) {
            react(id, spread_owner_changed{change->record.id, change->record.status <= member_status::Suspect});
        } else if (std::holds_alternative<targets_changed>(effect)) {
            std::vector<vm_id> peers;
            for (const auto &[peer, target] : self.state.targets) {
                peers.push_back(peer);
            }
            react(id, spread_peers_changed{std::move(peers)});
        }
    }

    void react(vm_id id, const spread_event &event)
    {
        std::vector<spread_effect> effects;
        step(tableOf(id), event, membership.now, membership.random, effects);
        for (const spread_effect &each : effects) {
            onEffect(id, each);
            if (const auto *send = std::get_if<send_spread>(&each)) {
                membership.deliver(id, send->to, [this, id, message = send->message](memory_fleet::vm &target) {
                    react(target.state.self.id, spread_received{id, message});
                });
            }
        }
    }

    void publish(vm_id owner, const std::string &name, unsigned value, spread_topic topic = spread_topic::Instances)
    {
        react(owner, spread_publish{topic, name, {static_cast<std::byte>(value)}});
    }

    /// Whether every running VM's table has the entry with this value.
    bool allHold(vm_id owner, const std::string &name, unsigned value)
    {
        const spread_key key{.topic = spread_topic::Instances, .owner = owner, .name = name};
        return std::ranges::all_of(membership.vms, [&](const auto &entry) {
            const stored_entry *stored = findEntry(tableOf(entry.first), key);
            return stored && stored->payload == std::vector{static_cast<std::byte>(value)};
        });
    }

    /// Whether no running VM's table has an entry of the owner other than a tombstone.
    bool noneHolds(vm_id owner)
    {
        return std::ranges::all_of(membership.vms, [&](const auto &entry) {
            return std::ranges::none_of(tableOf(entry.first).entries, [owner](const auto &stored) {
                return stored.first.owner == owner && !stored.second.removed;
            });
        });
    }

    /// Whether the tables of all running VMs have the same entries.
    bool tablesAgree()
    {
        const table_digest &first = tableOf(membership.vms.begin()->first).index.digest;
        return std::ranges::all_of(membership.vms,
                                   [&](const auto &entry) { return tableOf(entry.first).index.digest == first; });
    }
};

} // namespace guavafront
