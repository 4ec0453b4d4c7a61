#pragma once

#include <guavafront/coordination/limits/limiter.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace guavafront
{

/// Faults of the links between the VMs.
struct link_faults {
    double loss = 0; ///< Part of the messages that is lost, 0 to 1.
    double duplication = 0; ///< Part of the messages that arrives twice, 0 to 1.
    duration shortestDelay = std::chrono::milliseconds(1); ///< Shortest delay in one direction.
    /// Longest delay in one direction; different delays reorder messages.
    duration longestDelay = std::chrono::milliseconds(4);
};

/// One VM of the simulated fleet. Its clock differs from true time by an offset and a rate.
struct fleet_vm {
    limiter state; ///< The VM's limiter.
    bool alive = true; ///< Whether the VM runs; a dead VM ignores events.
    bool frozen = false; ///< Whether events are deferred until thaw().
    double clockRate = 1; ///< Rate of the VM's clock relative to true time.
    duration clockOffset{}; ///< Reading of the VM's clock at true time 0.
    std::map<account_id, std::deque<instant>> waitEnds; ///< When the wait of each request ends, oldest first.
    std::map<account_id, instant> recheckTimes; ///< When the waiting requests of an account are tried again.
    std::vector<std::function<void()>> deferredEvents; ///< Events that arrived while the VM was frozen.
};

/// Simulates the limiters of a whole fleet in virtual time, with links that lose, duplicate and reorder messages or are
/// cut.
struct limiter_fleet {
    limit_settings settings; ///< Settings of all VMs.
    limit_table limits; ///< Limits with which VMs start.
    link_faults faults; ///< Faults of all links.
    std::mt19937_64 random; ///< Generator of all random choices.
    instant now{}; ///< True time.
    std::vector<fleet_vm> vms; ///< The VMs, running or not.
    /// Directed links that drop everything, as indexes of sender and receiver.
    std::set<std::pair<std::size_t, std::size_t>> cut;
    std::map<account_id, std::vector<instant>> admitted; ///< True times at which requests were admitted.
    std::uint64_t refused = 0; ///< Number of refused requests.
    std::uint64_t sent = 0; ///< Number of messages sent.
    /// Called with each message and the index of its sender.
    std::function<void(std::size_t, const limit_send &)> onSend;
    std::uint64_t lastIncarnation = 0; ///< Id of the VM that was started last.

    /// Event at a true time; events at the same time run in the order in which they were scheduled.
    struct timed_event {
        instant at; ///< True time of the event.
        std::uint64_t sequenceNumber; ///< Order of scheduling.
        std::function<void()> run; ///< Executes the event.

        /// Whether this event runs after the other one.
        bool operator<(const timed_event &other) const
        {
            return at != other.at ? at > other.at : sequenceNumber > other.sequenceNumber;
        }
    };
    std::priority_queue<timed_event> queue; ///< Scheduled events.
    std::uint64_t lastEventNumber = 0; ///< Sequence number of the event scheduled last.

    /// Starts `size` VMs whose clock rates are within the drift that the settings allow.
    limiter_fleet(std::size_t size, const limit_settings &common, const limit_table &table, std::uint64_t seed)
        : settings(common)
        , limits(table)
        , random(seed)
    {
        vms.resize(size);
        for (std::size_t vmIndex = 0; vmIndex < size; ++vmIndex) {
            start(vmIndex);
        }
        setLiveMembers();
    }

    /// Returns a uniformly distributed number in [0, 1).
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    /// Returns a uniformly distributed index below `count`.
    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    /// Schedules an event at a true time.
    void schedule(instant when, std::function<void()> run)
    {
        queue.push({when, ++lastEventNumber, std::move(run)});
    }

    /// Returns the present time on a VM's clock.
    instant clockOf(const fleet_vm &vm) const
    {
        const double micros = static_cast<double>(now.time_since_epoch().count()) * vm.clockRate;
        return instant(vm.clockOffset + duration(static_cast<duration::rep>(micros)));
    }

    /// Starts a VM, or starts it again with a new id, clock and limiter.
    void start(std::size_t vmIndex)
    {
        fleet_vm &vm = vms[vmIndex];
        vm.clockRate = 1 + (2 * uniform() - 1) * settings.clockDrift;
        vm.clockOffset = std::chrono::hours(1) + std::chrono::milliseconds(randomIndex(1'000'000));
        vm.state = startLimiter({++lastIncarnation}, settings, limits, clockOf(vm));
        vm.alive = true;
        vm.frozen = false;
        vm.waitEnds.clear();
        vm.recheckTimes.clear();
        vm.deferredEvents.clear();
        tick(vmIndex, lastIncarnation);
    }

    /// Sets a VM's view of the members.
    void setMembers(std::size_t vmIndex, std::vector<vm_id> members)
    {
        run(vmIndex, limit_members_changed{std::move(members)});
    }

    /// Sets the view of every live VM to all live VMs.
    void setLiveMembers()
    {
        std::vector<vm_id> members;
        for (const fleet_vm &vm : vms) {
            if (vm.alive) {
                members.push_back(vm.state.self);
            }
        }
        for (std::size_t vmIndex = 0; vmIndex < vms.size(); ++vmIndex) {
            setMembers(vmIndex, members);
        }
    }

    /// Sends periodic ticks to a VM until it dies or is started again.
    void tick(std::size_t vmIndex, std::uint64_t incarnation)
    {
        if (!vms[vmIndex].alive || vms[vmIndex].state.self.value != incarnation) {
            return;
        }
        run(vmIndex, limit_tick{});
        schedule(now + settings.renewPeriod / 4, [this, vmIndex, incarnation] { tick(vmIndex, incarnation); });
    }

    /// Applies an event to a VM's limiter and carries out the effects.
    void run(std::size_t vmIndex, const limit_event &event)
    {
        fleet_vm &vm = vms[vmIndex];
        if (!vm.alive) {
            return;
        }
        if (vm.frozen) {
            vm.deferredEvents.emplace_back([this, vmIndex, event] { run(vmIndex, event); });
            return;
        }
        limit_effects effects;
        step(vm.state, event, clockOf(vm), effects);
        apply(vmIndex, effects);
    }

    /// Thaws a VM, which then processes its deferred events.
    void thaw(std::size_t vmIndex)
    {
        vms[vmIndex].frozen = false;
        std::vector<std::function<void()>> events;
        events.swap(vms[vmIndex].deferredEvents);
        for (const auto &event : events) {
            event();
        }
    }

    /// Carries out the effects of a step of a VM's limiter.
    void apply(std::size_t vmIndex, const limit_effects &effects)
    {
        for (const limit_send &message : effects.sends) {
            transmit(vmIndex, message);
        }
        for (const account_id account : effects.accountsToRetry) {
            retryWaiting(vmIndex, account);
        }
    }

    /// Sends a message over a link, subject to the link faults.
    void transmit(std::size_t from, const limit_send &message)
    {
        ++sent;
        if (onSend) {
            onSend(from, message);
        }
        const auto target = std::ranges::find(vms, message.to, [](const fleet_vm &vm) { return vm.state.self; });
        if (target == vms.end() || uniform() < faults.loss) {
            return;
        }
        const auto to = static_cast<std::size_t>(target - vms.begin());
        const int copies = uniform() < faults.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto spread = static_cast<std::size_t>((faults.longestDelay - faults.shortestDelay).count());
            const duration delay = faults.shortestDelay + duration(static_cast<duration::rep>(randomIndex(spread + 1)));
            const vm_id sender = vms[from].state.self;
            schedule(now + delay, [this, from, to, sender, message] {
                if (!cut.contains({from, to}) && vms[to].state.self == message.to) {
                    run(to, limit_message_received{sender, message.message});
                }
            });
        }
    }

    /// Handles a request that arrives at a VM.
    void request(std::size_t vmIndex, account_id account)
    {
        fleet_vm &vm = vms[vmIndex];
        if (!vm.alive) {
            return;
        }
        if (vm.frozen) {
            vm.deferredEvents.emplace_back([this, vmIndex, account] { request(vmIndex, account); });
            return;
        }
        const take_result first = tryRequest(vmIndex, account, take_phase::First);
        if (first.verdict != take_verdict::Wait) {
            return;
        }
        vm.waitEnds[account].push_back(now + settings.waitLimit);
        scheduleRecheck(vmIndex, account, first.recheckAfter);
        schedule(now + settings.waitLimit, [this, vmIndex, account, self = vm.state.self] {
            fleet_vm &waitingVm = vms[vmIndex];
            std::deque<instant> &waitEnds = waitingVm.waitEnds[account];
            const bool runs = waitingVm.alive && !waitingVm.frozen && waitingVm.state.self == self;
            if (runs && !waitEnds.empty() && waitEnds.front() <= now) {
                waitEnds.pop_front();
                tryRequest(vmIndex, account, take_phase::Last);
            }
        });
    }

    /// Schedules the next try of an account's waiting requests.
    void scheduleRecheck(std::size_t vmIndex, account_id account, duration after)
    {
        const instant when = now + after;
        instant &scheduled = vms[vmIndex].recheckTimes[account];
        if (scheduled > now && scheduled <= when) {
            return; // The earlier recheck schedules the next one.
        }
        scheduled = when;
        schedule(when, [this, vmIndex, account, when, self = vms[vmIndex].state.self] {
            fleet_vm &waitingVm = vms[vmIndex];
            const bool runs = waitingVm.alive && !waitingVm.frozen && waitingVm.state.self == self;
            if (runs && waitingVm.recheckTimes[account] == when) {
                retryWaiting(vmIndex, account);
            }
        });
    }

    /// Tries to take a token for a request and counts the result.
    take_result tryRequest(std::size_t vmIndex, account_id account, take_phase phase)
    {
        fleet_vm &vm = vms[vmIndex];
        limit_effects effects;
        const take_result result = tryTake(vm.state, account, phase, clockOf(vm), effects);
        if (result.verdict == take_verdict::Granted) {
            admitted[account].push_back(now);
        } else if (result.verdict != take_verdict::Wait) {
            ++refused;
        }
        apply(vmIndex, effects);
        return result;
    }

    /// Tries the waiting requests of an account in order of arrival until one has to wait on.
    void retryWaiting(std::size_t vmIndex, account_id account)
    {
        std::deque<instant> left = std::exchange(vms[vmIndex].waitEnds[account], {});
        while (!left.empty()) {
            const take_result result = tryRequest(vmIndex, account, take_phase::Repeated);
            if (result.verdict == take_verdict::Wait) {
                scheduleRecheck(vmIndex, account, result.recheckAfter);
                break;
            }
            left.pop_front();
        }
        std::deque<instant> &waitEnds = vms[vmIndex].waitEnds[account];
        waitEnds.insert(waitEnds.begin(), left.begin(), left.end());
    }

    /// Runs all events up to a true time.
    void runUntil(instant until)
    {
        while (!queue.empty() && queue.top().at <= until) {
            const timed_event next = queue.top();
            queue.pop();
            now = next.at;
            next.run();
        }
        now = until;
    }

    /// Returns by how much the sum over all VMs of the rates, capacities or tokens in force exceeds the account's
    /// limit, in tokens or tokens per second; at most 0 if the limit holds.
    double excessInForce(account_id account) const
    {
        rate_limit sum;
        double tokens = 0;
        for (const fleet_vm &vm : vms) {
            if (!vm.alive) {
                continue;
            }
            const auto owned = vm.state.owner.accounts.find(account);
            if (owned != vm.state.owner.accounts.end()) {
                pool_reserve reserve = owned->second.reserve;
                share_pool pool = vm.state.owner.pools[slotOf(settings, account)];
                refillReserve(reserve, pool, settings, limitOf(limits, account), owned->second.leased, clockOf(vm));
                tokens += reserve.level;
            }
            const auto used = vm.state.leases.accounts.find(account);
            if (used == vm.state.leases.accounts.end()) {
                continue;
            }
            const instant shareUsableFrom = vm.state.holder.shares[slotOf(settings, account)].usableFrom;
            leased_account current = used->second;
            refillAccount(current, settings, limitOf(limits, account), shareUsableFrom, clockOf(vm));
            const bool shareUsable = clockOf(vm) >= shareUsableFrom;
            sum.ratePerSecond +=
                current.lease.limit.ratePerSecond + (shareUsable ? current.ownShare.limit.ratePerSecond : 0);
            sum.burst += current.lease.limit.burst + (shareUsable ? current.ownShare.limit.burst : 0);
            tokens += current.lease.level + current.ownShare.level;
        }
        const rate_limit &limit = limitOf(limits, account);
        return std::max({sum.ratePerSecond - limit.ratePerSecond, sum.burst - limit.burst, tokens - limit.burst});
    }

    /// Returns the largest number of requests admitted beyond rate x time + burst in any time window; at most 0 if the
    /// limit holds.
    double worstExcess(account_id account)
    {
        const rate_limit &limit = limitOf(limits, account);
        double level = limit.burst;
        double worst = -limit.burst;
        instant last{};
        for (const instant moment : admitted[account]) {
            level = std::min(limit.burst,
                             level + limit.ratePerSecond * std::chrono::duration<double>(moment - last).count());
            last = moment;
            level -= 1;
            worst = std::max(worst, -level);
        }
        return worst;
    }
};

} // namespace guavafront
