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

/// Faults of the links between the VMs of a fleet.
struct link_faults {
    double loss = 0; ///< Part of the messages that is lost.
    double duplication = 0; ///< Part that comes twice.
    duration shortestDelay = std::chrono::milliseconds(1); ///< One way.
    duration longestDelay = std::chrono::milliseconds(4); ///< One way; differing delays cross messages.
};

/// One VM of the fleet; its clock has an offset and a rate of its own.
struct fleet_vm {
    limiter state; ///< Its limiter.
    bool alive = true; ///< Processes events.
    bool frozen = false; ///< Holds its events back until it thaws.
    double clockRate = 1; ///< Of its clock to true time.
    duration clockOffset{}; ///< Of its clock.
    std::map<account_id, std::deque<instant>> parked; ///< When the wait of each request ends, oldest first.
    std::map<account_id, instant> looks; ///< When the requests of an account are tried again.
    std::vector<std::function<void()>> heldBack; ///< Events that came while it was frozen.
};

/// Limiters of a whole fleet in virtual time, with links that lose, repeat, cross and cut.
struct limiter_fleet {
    limit_settings settings; ///< Of all VMs.
    limit_table limits; ///< Of all VMs.
    link_faults faults; ///< Of all links.
    std::mt19937_64 random; ///< Source of the schedule.
    instant now{}; ///< True time.
    std::vector<fleet_vm> vms; ///< By seat.
    std::set<std::pair<std::size_t, std::size_t>> cut; ///< Directed links that drop everything.
    std::map<account_id, std::vector<instant>> admitted; ///< True times of admissions.
    std::uint64_t refused = 0; ///< Requests refused.
    std::uint64_t sent = 0; ///< Messages sent.
    std::function<void(std::size_t, const limit_send &)> onSend; ///< Sees each message and its sender's seat.
    std::uint64_t lastIncarnation = 0; ///< Number of the VM started last.

    /// Event at a time; earlier numbers first.
    struct timed {
        instant at; ///< When.
        std::uint64_t number; ///< Tie breaker.
        std::function<void()> run; ///< What.

        /// Later events have lower priority.
        bool operator<(const timed &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };
    std::priority_queue<timed> queue; ///< What is to come.
    std::uint64_t lastNumber = 0; ///< Of the latest event.

    /// Fleet of `size` VMs whose clocks run within the drift that the settings allow.
    limiter_fleet(std::size_t size, const limit_settings &common, const limit_table &table, std::uint64_t seed)
        : settings(common)
        , limits(table)
        , random(seed)
    {
        vms.resize(size);
        for (std::size_t seat = 0; seat < size; ++seat) {
            start(seat);
        }
        announceAll();
    }

    /// A uniform number in [0, 1).
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    /// A uniform index below `count`.
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    /// Runs something later in true time.
    void at(instant when, std::function<void()> run)
    {
        queue.push({when, ++lastNumber, std::move(run)});
    }

    /// The seat's clock.
    instant clockOf(const fleet_vm &vm) const
    {
        const double micros = static_cast<double>(now.time_since_epoch().count()) * vm.clockRate;
        return instant(vm.clockOffset + duration(static_cast<duration::rep>(micros)));
    }

    /// Starts a new incarnation on a seat.
    void start(std::size_t seat)
    {
        fleet_vm &vm = vms[seat];
        vm.clockRate = 1 + (2 * uniform() - 1) * settings.clockDrift;
        vm.clockOffset = std::chrono::hours(1) + std::chrono::milliseconds(pick(1'000'000));
        vm.state = startLimiter({++lastIncarnation}, settings, limits, clockOf(vm));
        vm.alive = true;
        vm.frozen = false;
        vm.parked.clear();
        vm.looks.clear();
        vm.heldBack.clear();
        tick(seat, lastIncarnation);
    }

    /// Tells a seat its view of the members.
    void announce(std::size_t seat, std::vector<vm_id> members)
    {
        run(seat, limit_members_changed{std::move(members)});
    }

    /// Tells all live seats all live members.
    void announceAll()
    {
        std::vector<vm_id> members;
        for (const fleet_vm &vm : vms) {
            if (vm.alive) {
                members.push_back(vm.state.self);
            }
        }
        for (std::size_t seat = 0; seat < vms.size(); ++seat) {
            announce(seat, members);
        }
    }

    /// Ticks an incarnation as long as it lives.
    void tick(std::size_t seat, std::uint64_t incarnation)
    {
        if (!vms[seat].alive || vms[seat].state.self.value != incarnation) {
            return;
        }
        run(seat, limit_tick{});
        at(now + settings.renewPeriod / 4, [this, seat, incarnation] { tick(seat, incarnation); });
    }

    /// Applies an event at a seat and sends what comes of it.
    void run(std::size_t seat, const limit_event &event)
    {
        fleet_vm &vm = vms[seat];
        if (!vm.alive) {
            return;
        }
        if (vm.frozen) {
            vm.heldBack.emplace_back([this, seat, event] { run(seat, event); });
            return;
        }
        limit_effects effects;
        step(vm.state, event, clockOf(vm), effects);
        apply(seat, effects);
    }

    /// Thaws a seat; what came meanwhile is processed now.
    void thaw(std::size_t seat)
    {
        vms[seat].frozen = false;
        std::vector<std::function<void()>> events;
        events.swap(vms[seat].heldBack);
        for (const auto &event : events) {
            event();
        }
    }

    /// Carries out effects of a seat.
    void apply(std::size_t seat, const limit_effects &effects)
    {
        for (const limit_send &message : effects.sends) {
            transmit(seat, message);
        }
        for (const account_id account : effects.settled) {
            retryParked(seat, account);
        }
    }

    /// Sends a message with the faults of the links.
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
            const duration delay = faults.shortestDelay + duration(static_cast<duration::rep>(pick(spread + 1)));
            const vm_id sender = vms[from].state.self;
            at(now + delay, [this, from, to, sender, message] {
                if (!cut.contains({from, to}) && vms[to].state.self == message.to) {
                    run(to, limit_message_received{sender, message.message});
                }
            });
        }
    }

    /// A request comes to a seat.
    void request(std::size_t seat, account_id account)
    {
        fleet_vm &vm = vms[seat];
        if (!vm.alive) {
            return;
        }
        if (vm.frozen) {
            vm.heldBack.emplace_back([this, seat, account] { request(seat, account); });
            return;
        }
        const take_result first = attempt(seat, account, take_attempt::First);
        if (first.verdict != take_verdict::Wait) {
            return;
        }
        vm.parked[account].push_back(now + settings.waitLimit);
        lookAgain(seat, account, first.lookAgainAfter);
        at(now + settings.waitLimit, [this, seat, account, self = vm.state.self] {
            fleet_vm &waiter = vms[seat];
            std::deque<instant> &parked = waiter.parked[account];
            const bool runs = waiter.alive && !waiter.frozen && waiter.state.self == self;
            if (runs && !parked.empty() && parked.front() <= now) {
                parked.pop_front();
                attempt(seat, account, take_attempt::Last);
            }
        });
    }

    /// Tries the waiting requests of an account again later.
    void lookAgain(std::size_t seat, account_id account, duration after)
    {
        const instant when = now + after;
        instant &planned = vms[seat].looks[account];
        if (planned > now && planned <= when) {
            return; // The earlier one plans the next.
        }
        planned = when;
        at(when, [this, seat, account, when, self = vms[seat].state.self] {
            fleet_vm &waiter = vms[seat];
            const bool runs = waiter.alive && !waiter.frozen && waiter.state.self == self;
            if (runs && waiter.looks[account] == when) {
                retryParked(seat, account);
            }
        });
    }

    /// Tries to take a token and counts the outcome.
    take_result attempt(std::size_t seat, account_id account, take_attempt kind)
    {
        fleet_vm &vm = vms[seat];
        limit_effects effects;
        const take_result result = tryTake(vm.state, account, kind, clockOf(vm), effects);
        if (result.verdict == take_verdict::Granted) {
            admitted[account].push_back(now);
        } else if (result.verdict != take_verdict::Wait) {
            ++refused;
        }
        apply(seat, effects);
        return result;
    }

    /// Tries the waiting requests of an account, oldest first.
    void retryParked(std::size_t seat, account_id account)
    {
        std::deque<instant> left = std::exchange(vms[seat].parked[account], {});
        while (!left.empty()) {
            const take_result result = attempt(seat, account, take_attempt::Repeated);
            if (result.verdict == take_verdict::Wait) {
                lookAgain(seat, account, result.lookAgainAfter);
                break;
            }
            left.pop_front();
        }
        std::deque<instant> &parked = vms[seat].parked[account];
        parked.insert(parked.begin(), left.begin(), left.end());
    }

    /// Processes everything up to a moment.
    void runUntil(instant until)
    {
        while (!queue.empty() && queue.top().at <= until) {
            const timed next = queue.top();
            queue.pop();
            now = next.at;
            next.run();
        }
        now = until;
    }

    /// How far the rates, capacities and tokens now in force over all VMs exceed the account's limit.
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
            const auto used = vm.state.entry.accounts.find(account);
            if (used == vm.state.entry.accounts.end()) {
                continue;
            }
            const instant shareFreeFrom = vm.state.holder.shares[slotOf(settings, account)].freeFrom;
            leased_account current = used->second;
            refillAccount(current, settings, limitOf(limits, account), shareFreeFrom, clockOf(vm));
            const bool shareFree = clockOf(vm) >= shareFreeFrom;
            sum.ratePerSecond += current.lease.limit.ratePerSecond + (shareFree ? current.own.limit.ratePerSecond : 0);
            sum.burst += current.lease.limit.burst + (shareFree ? current.own.limit.burst : 0);
            tokens += current.lease.level + current.own.level;
        }
        const rate_limit &limit = limitOf(limits, account);
        return std::max({sum.ratePerSecond - limit.ratePerSecond, sum.burst - limit.burst, tokens - limit.burst});
    }

    /// The most admissions beyond rate x time + burst in any window; at most 0 when the limit holds.
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
