#pragma once

#include <guavafront/coordination/core/time.h>

#include <cstdint>
#include <optional>
#include <random>

namespace guavafront
{

/// Available capacity of a service, as one VM sees it.
struct service_capacity {
    std::uint32_t slots = 0; ///< Slots of the usable instances that aren't avoided.
    std::uint32_t requests = 0; ///< Requests at these instances, of all VMs.
    std::uint32_t vms = 1; ///< Entry VMs that share the capacity, those included that may run out of reach.
    bool current = false; ///< The requests are known by current sums.
};

/// Limits of the shares of a service's capacity.
struct capacity_parameters {
    /// Requests for each slot below which capacity is ample and nothing waits at the VMs.
    double ampleLoad = 0.75;
    /// Requests for each slot that all VMs together keep at the instances while capacity is scarce. The part above 1
    /// keeps the slots busy although requests are spread unevenly, and bounds the queues of the instances.
    double scarceLoad = 1.2;
    /// Requests for each slot from which this VM scales its limit down to scarceLoad at once.
    double severeLoad = 1.5;
    /// Growth of the boost for each unit of load below scarceLoad, per second. The sums are up to 0.2 s late and a
    /// request takes about as long; twice this rate oscillates in the model.
    double boostGrowth = 2;
    /// Decrease of the boost for each unit of load above scarceLoad, per second.
    double boostDecrease = 6;
    /// Boost at which the VM has no limit. Few VMs have more demand than this multiple of the mean.
    double maxBoost = 4;
    /// Time for which an unused share is saved.
    duration saving = std::chrono::milliseconds(300);
};

/// How many requests of a service this VM may have at instances: its fair share of the capacity, times a boost by which
/// it uses what the other VMs leave. The whole part of the limit bounds the requests at once. The fraction, which is
/// all of it where there are more VMs than slots, holds as the mean over time: credit accrues with the limit, and each
/// request at an instance uses up one slot second a second.
struct capacity_share {
    double boost = 0; ///< Factor on the fair share; 0 before the first update, maxBoost for no limit.
    double limit = 0; ///< Share of the slots with the boost; meaningless while unlimited.
    double load = 0; ///< Requests for each slot by the last update.
    double creditSeconds = 0; ///< Slot seconds that this VM may use beyond its present requests.
    double threshold = 0; ///< Slot seconds of credit at which the next request is admitted; drawn at random, so that
                          ///< VMs whose credit ran out at the same time don't return together.
    instant updatedAt{}; ///< Time of the last update of the boost.
    instant accruedAt{}; ///< Time up to which the credit has been accounted for.
    bool unlimited = true; ///< Nothing waits.
};

/// Accounts for the time since the last call, in which this VM had that many requests at instances. To be called before
/// the number changes.
void accrueCredit(capacity_share &share, std::uint32_t running, instant now);

/// Updates the limit. waiting: requests wait at this VM.
void updateShare(capacity_share &share, const service_capacity &capacity, std::uint32_t running, bool waiting,
                 instant now, const capacity_parameters &parameters = {});

/// Whether one more request may be sent to an instance.
bool hasShareLeft(const capacity_share &share, std::uint32_t running);

/// Whether a request that ranks above most of the others may be sent beyond the limit; the others pay it back by
/// waiting longer. A VM's few slots become free seldom, so that an urgent request would often wait although other VMs'
/// slots are used for less urgent ones.
bool canBorrow(const capacity_share &share, std::uint32_t running);

/// Records that a request was sent to an instance. workSeconds: its expected service time.
void useShare(capacity_share &share, double workSeconds, std::mt19937_64 &random);

/// Slot seconds of work that instances do each second for this VM while it uses all of its limit.
double drainRate(const capacity_share &share);

/// Time until the credit suffices for the next request if none of the running ones ends; nothing when only the end of
/// one makes room.
std::optional<duration> timeToNext(const capacity_share &share, std::uint32_t running);

} // namespace guavafront
