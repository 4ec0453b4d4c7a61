#pragma once

#include "model/consecutive_errors.h"
#include "model/event_queue.h"
#include "model/upstream_model.h"

#include <guavafront/coordination/quarantine/quarantine.h>
#include <guavafront/coordination/retries/retry.h>
#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace guavafront::bench
{

inline constexpr instant faultBegin{std::chrono::seconds(20)}; ///< Start of the fault and of the counts.
inline constexpr instant runEnd{std::chrono::seconds(60)};
inline constexpr duration reportDelay = std::chrono::milliseconds(300); ///< Of health reports and deaths to other VMs.
inline constexpr duration superviseInterval = std::chrono::milliseconds(250); ///< Between updates of the rotation.
inline constexpr duration requestTimeout = std::chrono::seconds(1);
inline constexpr duration connectTime = std::chrono::milliseconds(1); ///< Added to the round trip of a connect.
inline constexpr duration connectTimeout = std::chrono::milliseconds(500); ///< Of a connect to a blocked instance.
inline constexpr duration announcementLease = std::chrono::seconds(3); ///< From a crash to removal from the registry.
inline constexpr duration restartTime = std::chrono::seconds(5); ///< From a crash to the start of a new instance.
inline constexpr duration meanServiceTime = std::chrono::milliseconds(10);
inline constexpr double serviceTimeSigma = 0.5; ///< Standard deviation of the logarithm of the service time.
inline constexpr std::uint32_t deathsToQuarantine = 3; ///< Deaths after which a request is held back.
inline constexpr std::string_view serviceName = "cobros";

/// One upstream instance.
struct upstream_instance {
    announcement self; ///< Announcement of the instance.
    std::size_t dataCentre = 0; ///< Index of its data centre, 0 to 2.
    bool alive = true; ///< The instance has not crashed.
    instant startedAt{}; ///< When the instance began to serve.
    std::uint32_t busy = 0; ///< Slots in use.
    std::deque<std::size_t> waiting; ///< Indexes of the attempts in its queue, oldest first.
    std::vector<std::size_t> running; ///< Indexes of the attempts in its slots.
};

/// One attempt of a request at one instance.
struct attempt_state {
    std::size_t request = 0; ///< Index of its request.
    std::size_t vm = 0; ///< Index of its VM.
    std::size_t instance = 0; ///< Index of its instance.
    instant sentAt{}; ///< When the VM sent it.
    bool reused = false; ///< The connection had been kept from an earlier attempt.
    bool silent = false; ///< The connection carries nothing any more.
    bool ended = false; ///< The end of the attempt has been handled; later events of it are ignored.
};

/// One request of a caller.
struct request_state {
    bool repeatable = false; ///< The request may run more than once.
    bool poison = false; ///< The request kills each instance that runs it.
    instant arrived{}; ///< When the request arrived.
    std::vector<instance_id> tried; ///< Instances of its attempts so far.
};

/// One entry VM.
struct entry_vm {
    registry known; ///< Instances that the VM knows.
    upstream_selection selection; ///< Balancing and failure detection of the VM.
    quarantine requestQuarantine; ///< Requests that the VM holds back.
    std::vector<std::vector<bool>> idleConnections; ///< Idle connections by instance; true for a silent one.
    consecutive_errors errors; ///< State of the baseline detector.
    std::set<std::uint64_t> outOfRotation; ///< Instances out of rotation at the last update.
    std::set<std::uint64_t> avoided; ///< Instances out of rotation or with a low weight at the last update.
};

/// One run of the model, with all instances and VMs, on virtual time.
class upstream_run
{
public:
    explicit upstream_run(const model_options &options);
    model_result run();

private:
    std::size_t dataCentreOf(std::size_t vm) const;
    void addInstance(std::size_t dataCentre, instant startedAt);
    void addVm(std::size_t index);
    void announceTo(entry_vm &vm, const announcement &announced);
    /// Schedules the next request of a Poisson process. It arrives at a random VM.
    void scheduleArrival();
    /// Schedules the next arrival of the request that kills instances; it arrives every 0.3 s from faultBegin on.
    void schedulePoison();
    void arrive(request_state request);
    request_fingerprint fingerprint(std::size_t request) const;
    void startAttempt(std::size_t request, std::size_t vmIndex);
    duration roundTripTo(std::size_t vm, std::size_t instance) const;
    void send(std::size_t request, std::size_t vmIndex, std::size_t instance);
    /// Time until which an attempt on a reused connection waits for its answer.
    instant silenceLimit(std::size_t index) const;
    void connect(std::size_t index);
    bool isBlocked(std::size_t vm, std::size_t instance) const;
    bool faultActive() const;
    void reachInstance(std::size_t index);
    /// Factor on the service time of an instance.
    double slowdownOf(std::size_t index) const;
    void startService(std::size_t index);
    void finishService(std::size_t index);
    outcome_kind answerKind(std::size_t instance);
    void crashInstance(std::size_t instanceIndex);
    void forgetInstance(std::size_t instanceIndex);
    void confirmDeath(std::size_t vmIndex, std::size_t instanceIndex);
    void endAttempt(std::size_t index, outcome_kind kind, bool notRun);
    void recordForBaseline(entry_vm &vm, const outcome &ended);
    void updateIdleConnections(entry_vm &vm, const attempt_state &attempt, outcome_kind kind);
    void retryOrConclude(const attempt_state &attempt, outcome_kind kind, bool notRun);
    void conclude(std::size_t request, bool good);
    void beginFault();
    /// Starts the cold-start ramp of an instance at every VM.
    void beginColdStart(std::size_t instanceIndex);
    void scheduleSupervision();
    void superviseVm(std::size_t index);
    static std::set<std::uint64_t> outOfRotationAt(const entry_vm &vm);
    static std::set<std::uint64_t> avoidedBy(const entry_vm &vm);
    /// Whether the fault of the run affects an instance as seen from a VM, whatever the VM has detected.
    bool isFaulty(std::size_t vm, std::uint64_t id) const;
    void recordEjections(std::size_t index);
    void recordDetection();
    double meanCapacity() const;
    /// Share of the instances that are in no VM's set of the given kind.
    double capacityEverywhere(std::set<std::uint64_t> entry_vm::*taken) const;
    void finish();
    const model_options m_options; ///< Options of the run.
    std::mt19937_64 m_random; ///< Source of all random numbers.
    event_queue m_events; ///< Events on virtual time.
    std::vector<upstream_instance> m_instances; ///< The instance with id n has index n - 1; each restart appends one.
    std::vector<entry_vm> m_vms; ///< All VMs, in order of data centre.
    std::vector<request_state> m_requests; ///< All requests so far.
    std::vector<attempt_state> m_attempts; ///< All attempts so far.
    std::vector<double> m_latencies; ///< Latencies in milliseconds of requests that arrived after the fault began.
    model_result m_result; ///< Counts of the run so far.
};

} // namespace guavafront::bench
