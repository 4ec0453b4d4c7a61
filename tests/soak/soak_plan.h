#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace guavafront
{

/// What a change of the configuration is.
enum class change_kind : std::uint8_t {
    Valid, ///< A configuration that has to be accepted.
    Invalid, ///< One that has to be refused, under a version higher than all before it.
    OtherContent, ///< Other routes under the version of an earlier change.
};

/// Defects of an invalid configuration, as the platform's protocol lists them.
enum class defect : std::uint8_t {
    UnknownService,
    NegativeWeight,
    ZeroTimeout,
    ZeroAttempts,
    PrefixWithoutSlash,
    UnknownKind,
    SharedKey,
    CutShort,
};
constexpr std::uint8_t defectCount = 8;

/// One whole configuration. The two first routes are in each; the others are known by their numbers. An invalid one and
/// one with other content hold a route that no valid one holds, under the change's index.
struct planned_change {
    std::uint64_t version = 0; ///< Its version.
    change_kind kind = change_kind::Valid; ///< What it is.
    defect flaw = defect::UnknownService; ///< What is wrong with an invalid one.
    std::vector<int> routes; ///< Numbers of the later routes, in order.
    int baitRoute = -1; ///< Route of an invalid one, or of one with other content; -1 for none.
};

/// Something that an operator does.
enum class operator_action : std::uint8_t {
    Send, ///< Sends a change until it gets a clear answer.
    SendAgain, ///< Sends the change that this operator last got acknowledged once more.
    SendOlder, ///< Sends the change that this operator got acknowledged before that one.
    SendOther, ///< Sends other content under the version that this operator last got acknowledged.
};

/// One action of an operator.
struct planned_order {
    duration at{}; ///< Earliest time after the start of the plan.
    int sender = 0; ///< Number of the operator.
    operator_action action = operator_action::Send; ///< What it does.
    std::size_t change = 0; ///< Index of the change that is sent, or of the one with other content.
};

/// Faults and planned work.
enum class fault_kind : std::uint8_t {
    KillControl,
    FreezeControl,
    WipeControl, ///< Killed; its data folder is removed before it starts again.
    ReplaceControl, ///< Killed for good; another one starts at another address with an empty folder.
    StopControl, ///< SIGTERM, then started again.
    ReloadControl, ///< SIGHUP.
    KillAllControls, ///< All at once; their disks stay.
    WipeWhileOthersDown, ///< All killed at once, and one of them has lost its disk.
    ReplaceWhileOthersDown, ///< All killed at once, and one of them is replaced.
    KillEntry,
    StopEntry, ///< SIGTERM in calm, then started again.
    ReloadEntry, ///< SIGHUP.
    KillEverything, ///< All control and entry VMs.
    WipeWhileEverythingDown, ///< The same, and one control VM has lost its disk.
};

/// One fault.
struct planned_fault {
    fault_kind kind = fault_kind::KillControl; ///< What happens.
    int place = 0; ///< Place of the control or entry VM among those of its role; ignored where leader is set.
    bool leader = false; ///< Whether the control VM that leads is taken.
    duration downtime{}; ///< Time until it is started or goes on.
    duration pause{}; ///< Time after it is back until the next fault.
};

/// One evacuation of a data centre.
struct planned_evacuation {
    duration at{}; ///< Earliest time of the order after the start of the plan.
    duration length{}; ///< Time from its acknowledgement to the revocation.
};

/// All that is played with one seed.
struct soak_plan {
    std::uint64_t seed = 0; ///< What it was made from.
    std::vector<planned_change> changes; ///< In the order of versions, except those with other content.
    std::vector<planned_order> orders; ///< By time.
    std::vector<planned_fault> faults; ///< One after the other.
    std::vector<planned_evacuation> evacuations; ///< One after the other.
    std::size_t finalChange = 0; ///< Index of the change that is acknowledged right before the final fault.
    planned_fault finalFault; ///< Final fault.
};

/// Bounds of a plan.
struct soak_size {
    std::size_t controls = 5; ///< Control VMs.
    std::size_t entries = 3; ///< Entry VMs.
    int senders = 2; ///< Operators.
    duration orderTime = std::chrono::seconds(34); ///< Time within which operators act.
    duration faultTime = std::chrono::seconds(34); ///< Time after which no further fault begins.
};

/// Makes the plan of a seed. At most one control VM that counts has lost its disk or is out alone at a time, and it has
/// caught up before the next one.
soak_plan planOf(std::uint64_t seed, const soak_size &size = {});

/// Time that a fault takes, with its pause.
duration lengthOf(const planned_fault &fault);

/// The plan as lines of text.
std::string describe(const soak_plan &plan);

} // namespace guavafront
