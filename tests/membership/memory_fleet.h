#pragma once

#include <guavafront/coordination/membership/membership.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavafront
{

/// Simulated fleet: membership messages between the VMs are delivered in memory, with a random delay of a few
/// milliseconds. The random numbers and with them the whole run depend only on the seed.
struct memory_fleet {
    struct vm {
        fleet_membership state;
        instant nextTick;
        bool frozen = false;
        std::vector<std::function<void()>> backlog; ///< Deliveries that arrived while the VM was frozen.
    };

    using handler = std::function<void(vm &, const membership_effect &)>;

    random_source random{1};
    membership_options options;
    instant now{};
    std::map<vm_id, vm> vms;
    std::map<std::string, vm_id> vmsByAddress; ///< The VM last started at each address.
    std::multimap<instant, std::function<void()>> queue;
    std::function<bool(vm_id, vm_id)> isCut = [](vm_id, vm_id) {
        return false;
    }; ///< Whether a message from the first VM to the second one is lost.
    handler onEffect = [](vm &, const membership_effect &) {
    }; ///< Called for each effect before it is carried out.
    std::function<void(vm &, membership_ack &)> onAck = [](vm &, membership_ack &) {
    }; ///< Called for each answer before it is sent, to complete it.
    std::function<void(vm &, const membership_ack &, instant)> onAnswered = [](vm &, const membership_ack &, instant) {
    }; ///< Called for each answer to a ping of the VM, with the time at which the ping was sent.
    std::function<void(vm &)> onTick = [](vm &) {
    }; ///< Called after each tick of a VM.

    static constexpr duration tickPeriod = std::chrono::milliseconds(100);
    static constexpr std::size_t seedCount = 3;
    std::size_t controlCount = 0; ///< VMs started at that many first addresses are control VMs, the others entry VMs.

    static std::string addressOf(std::size_t slot)
    {
        return "10.0.0." + std::to_string(slot) + ":7000";
    }

    static std::string dataCentreOf(std::size_t slot)
    {
        return std::string(1, static_cast<char>('a' + slot % 3));
    }

    /// Starts a VM at an address; the first three addresses are the seeds. The book holds the addresses at which it saw
    /// others before.
    vm_id start(std::size_t slot, vm_id id = {}, std::vector<std::string> book = {})
    {
        if (id.value == 0) {
            id = {random() | 1U};
        }
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < seedCount; ++i) {
            seeds.push_back(addressOf(i));
        }
        member_record self{.id = id,
                           .address = addressOf(slot),
                           .dataCentre = dataCentreOf(slot),
                           .roles = slot < controlCount ? ControlRole : EntryRole};
        const instant first = now + duration(static_cast<std::int64_t>(random.below(tickPeriod.count())));
        vmsByAddress[self.address] = id;
        vms.insert_or_assign(
            id, vm{makeMembership(std::move(self), std::move(seeds), options, std::move(book)), first, false, {}});
        return id;
    }

    void startAll(std::size_t count)
    {
        for (std::size_t slot = 0; slot < count; ++slot) {
            start(slot);
        }
    }

    /// Removes a VM without telling the others, as a crash does.
    void kill(vm_id id)
    {
        vms.erase(id);
    }

    /// Stops a VM from running; messages to it wait until thaw().
    void freeze(vm_id id)
    {
        vms.at(id).frozen = true;
    }

    void thaw(vm_id id)
    {
        vm &target = vms.at(id);
        target.frozen = false;
        for (const auto &deliver : std::exchange(target.backlog, {})) {
            deliver();
        }
    }

    /// Runs an action on a VM after a random delay, as a message does; drops it when the link is cut or the VM is gone.
    void deliver(vm_id from, vm_id to, std::function<void(vm &)> action)
    {
        if (isCut(from, to)) {
            return;
        }
        const duration delay(1'000 + static_cast<std::int64_t>(random.below(7'000)));
        queue.emplace(now + delay, [this, to, action = std::move(action)] { arrive(to, action); });
    }

    /// Runs the action of a message that has arrived, or keeps it while the VM is frozen.
    void arrive(vm_id to, const std::function<void(vm &)> &action)
    {
        const auto target = vms.find(to);
        if (target == vms.end()) {
            return;
        }
        if (target->second.frozen) {
            target->second.backlog.emplace_back([this, to, action] { arrive(to, action); });
        } else {
            action(target->second);
        }
    }

    void react(vm &self, const membership_event &event)
    {
        std::vector<membership_effect> effects;
        step(self.state, event, now, random, effects);
        const vm_id from = self.state.self.id;
        for (const membership_effect &each : effects) {
            onEffect(self, each);
            reportAnswer(self, event, each);
            const auto *send = std::get_if<send_membership>(&each);
            if (!send) {
                continue;
            }
            const auto listener = vmsByAddress.find(send->address);
            const vm_id to = send->to.value != 0              ? send->to
                             : listener == vmsByAddress.end() ? vm_id{}
                                                              : listener->second;
            membership_message message = send->message;
            if (auto *ack = std::get_if<membership_ack>(&message)) {
                onAck(self, *ack);
            }
            deliver(from, to, [this, from, message = std::move(message)](vm &target) {
                react(target, membership_received{from, message});
            });
        }
    }

    /// Calls onAnswered when the effect reports an answer to an own ping.
    void reportAnswer(vm &self, const membership_event &event, const membership_effect &effect)
    {
        const auto *answered = std::get_if<probe_answered>(&effect);
        const auto *received = std::get_if<membership_received>(&event);
        if (answered && received) {
            onAnswered(self, std::get<membership_ack>(received->message), answered->sentAt);
        }
    }

    void tickAll()
    {
        for (auto &[id, each] : vms) {
            if (!each.frozen && now >= each.nextTick) {
                each.nextTick = now + tickPeriod;
                react(each, membership_tick{});
                onTick(each);
            }
        }
    }

    void deliverDue()
    {
        while (!queue.empty() && queue.begin()->first <= now) {
            const auto action = std::move(queue.begin()->second);
            queue.erase(queue.begin());
            action();
        }
    }

    /// Advances the time until the condition holds; false when it doesn't hold within the limit.
    bool runUntil(const std::function<bool()> &condition, duration limit)
    {
        constexpr duration stepLength = std::chrono::milliseconds(10);
        constexpr int stepsPerCheck = 10;
        const instant end = now + limit;
        while (now < end && !condition()) {
            for (int i = 0; i < stepsPerCheck; ++i) {
                now += stepLength;
                deliverDue();
                tickAll();
            }
        }
        return condition();
    }

    void run(duration time)
    {
        runUntil([] { return false; }, time);
    }

    /// Whether every VM considers exactly the running VMs live.
    bool viewsAgree() const
    {
        return std::ranges::all_of(vms, [this](const auto &entry) {
            const fleet_membership &state = entry.second.state;
            return state.aliveCount == vms.size()
                   && std::ranges::all_of(vms, [&state](const auto &other) { return isLive(state, other.first); });
        });
    }

    /// Whether every running VM knows all running VMs as alive or suspect.
    bool noneConsideredDead() const
    {
        return std::ranges::all_of(vms, [this](const auto &entry) {
            return std::ranges::all_of(vms, [&entry](const auto &other) {
                const member_record *record = findMember(entry.second.state, other.first);
                return record && record->status <= member_status::Suspect;
            });
        });
    }
};

} // namespace guavafront
