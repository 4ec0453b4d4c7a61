#pragma once

#include "replication/racing_operators.h"
#include "replication/simulated_fleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavafront
{

/// Which losses a schedule has.
struct losses_options {
    std::size_t vms = 0; ///< Number of control VMs.
    std::size_t tolerated = 0; ///< Number of VMs that may be lost at a time.
    duration catchUp{}; ///< A VM counts as lost for this long after it is back, or after its successor has started.
    bool hasDisasters = false; ///< Besides tolerated losses the VMs are split or all killed, at any moment.
};

/// Returns the options for a number of control VMs, with the platform's tolerance for that number.
losses_options lossesOf(std::size_t vms, bool hasDisasters);

/// What a schedule has shown.
struct losses_report {
    std::vector<duration> leaderless; ///< Times between two confirmations of a leader, if longer than two heartbeats.
    duration recovery{}; ///< From the moment all VMs were back after the final fault until all was well.
    std::uint64_t losses = 0; ///< Number of VMs lost before the final fault.
    std::map<std::string, std::uint64_t> moments; ///< How often a disaster or final fault met a state of the members.
};

/// A day of random losses in a simulated fleet with operators, closed by a final fault. The seed determines it.
class losses_schedule
{
public:
    /// Prepares the schedule of this seed.
    losses_schedule(std::uint64_t seed, const losses_options &options);

    /// Runs the schedule. Throws std::runtime_error when an invariant is violated or the fleet doesn't recover in time.
    losses_report run();

private:
    /// A place for a control VM.
    struct machine {
        vm_id vm; ///< Identity of its VM now.
        std::string address; ///< Address of that VM.
        instant lostUntil; ///< The machine counts as lost until this time.
        bool isAway = false; ///< Down, frozen, slow or cut off.
        bool hasLostDisk = false; ///< The latest loss was that of the disk.
    };
    enum class loss : std::uint8_t { Kill, PowerLoss, DiskLost, Replaced, Cut, Frozen, SlowDisk };

    bool chance(std::uint64_t percent);
    duration between(std::uint64_t leastMs, std::uint64_t mostMs);
    std::size_t lostMachines() const;
    std::size_t lostDisks() const;
    bool isAnyAway();
    machine *pickVictim(bool prefersSuccessor);
    void loseNext();
    void lose(machine &victim, loss kind);
    void startSuccessor(machine &victim, bool atNewAddress);
    void comeBack(machine &victim);
    void scheduleDisaster();
    void awaitMoment(const std::function<bool()> &moment, instant until, const std::function<void()> &action);
    std::function<bool()> randomMoment();
    void beginDisaster();
    void split();
    void overlapLoss();
    void heal();
    void endDisaster();
    void loseAll(bool isPowerLost, std::uint64_t mostMs);
    void strikeFinally();
    void recordMoment(const std::string &what);
    bool isLearning();
    bool isSuccessorVotingBeside();
    bool hasRecovered();

    losses_options m_options; ///< Options of the schedule.
    simulated_fleet m_fleet; ///< The control VMs.
    simulated_cluster &m_cluster; ///< Cluster of the fleet.
    std::vector<machine> m_machines; ///< All places.
    losses_report m_report; ///< Results so far.
    const racing_operators *m_operators = nullptr; ///< Operators of the day.
    instant m_dayEnd; ///< No new loss before the final fault begins after this time.
    std::uint64_t m_lastAddress = 0; ///< Last address in use.
    bool m_isEager = false; ///< A loss begins as soon as it is tolerated.
    bool m_hitsLeader = false; ///< Losses hit the leader.
    bool m_isStruck = false; ///< The final fault has begun.
    bool m_isDisaster = false; ///< A disaster isn't over.
};

} // namespace guavafront
