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

inline constexpr instant faultBegin{std::chrono::seconds(20)};
inline constexpr instant runEnd{std::chrono::seconds(60)};
inline constexpr duration reportDelay = std::chrono::milliseconds(300);
inline constexpr duration superviseInterval = std::chrono::milliseconds(250);
inline constexpr duration requestTimeout = std::chrono::seconds(1);
inline constexpr duration connectTime = std::chrono::milliseconds(1);
inline constexpr duration connectTimeout = std::chrono::milliseconds(500);
inline constexpr duration announcementLease = std::chrono::seconds(3);
inline constexpr duration restartTime = std::chrono::seconds(5);
inline constexpr duration meanServiceTime = std::chrono::milliseconds(10);
inline constexpr double serviceTimeSigma = 0.5;
inline constexpr std::uint32_t deathsToQuarantine = 3;
inline constexpr std::string_view serviceName = "cobros";

/// One upstream instance.
struct upstream_instance {
    announcement self; ///< What it announces.
    std::size_t dataCentre = 0; ///< 0 to 2.
    bool alive = true; ///< It has not crashed.
    instant startedAt{}; ///< When it began to serve.
    std::uint32_t busy = 0; ///< Slots in use.
    std::deque<std::size_t> waiting; ///< Tries in its queue.
    std::vector<std::size_t> running; ///< Tries in its slots.
};

/// One try of a request.
struct attempt_state {
    std::size_t request = 0; ///< Index of its request.
    std::size_t vm = 0; ///< Index of its VM.
    std::size_t instance = 0; ///< Index of its instance.
    instant sentAt{}; ///< When the VM sent it.
    bool reused = false; ///< On a kept connection.
    bool silent = false; ///< The connection is silent.
    bool ended = false; ///< Its end was handled.
};

/// One request of a caller.
struct request_state {
    bool repeatable = false; ///< May run more than once.
    bool poison = false; ///< Kills each instance that runs it.
    instant arrived{}; ///< When it came.
    std::vector<instance_id> tried; ///< Instances tried so far.
};

/// One entry VM.
struct entry_vm {
    registry known; ///< Instances that it knows.
    upstream_selection selection; ///< Its choice and health.
    quarantine requestQuarantine; ///< Its quarantine.
    std::vector<std::vector<bool>> idleConnections; ///< Kept connections by instance; true for a silent one.
    consecutive_errors errors; ///< Baseline's state.
    std::set<std::uint64_t> outOfRotation; ///< Instances out of rotation when last looked at.
    std::set<std::uint64_t> avoided; ///< Instances out of rotation or with few turns when last looked at.
};

/// One run of the model: all instances and VMs in virtual time.
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
    /// Poisson arrivals at a random VM.
    void scheduleArrival();
    /// One caller that sends the same deadly request again and again.
    void schedulePoison();
    void arrive(request_state request);
    request_fingerprint fingerprint(std::size_t request) const;
    void startAttempt(std::size_t request, std::size_t vmIndex);
    duration roundTripTo(std::size_t vm, std::size_t instance) const;
    void send(std::size_t request, std::size_t vmIndex, std::size_t instance);
    /// Until when a try on a used connection waits for its answer.
    instant silenceLimit(std::size_t index) const;
    void connect(std::size_t index);
    bool isBlocked(std::size_t vm, std::size_t instance) const;
    bool faultActive() const;
    void reachInstance(std::size_t index);
    /// How many times slower than usual an instance is.
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
    /// The instance has just begun to serve, as every VM heard.
    void beginColdStart(std::size_t instanceIndex);
    void scheduleSupervision();
    void superviseVm(std::size_t index);
    static std::set<std::uint64_t> outOfRotationAt(const entry_vm &vm);
    static std::set<std::uint64_t> avoidedBy(const entry_vm &vm);
    /// Whether the instance is truly faulty as seen from a VM.
    bool isFaulty(std::size_t vm, std::uint64_t id) const;
    void recordEjections(std::size_t index);
    void recordDetection();
    double meanCapacity() const;
    /// Share of the instances that are in no VM's set.
    double capacityEverywhere(std::set<std::uint64_t> entry_vm::*taken) const;
    void finish();
    const model_options m_options; ///< As constructed.
    std::mt19937_64 m_random; ///< All random numbers of the run.
    event_queue m_events; ///< What happens next.
    std::vector<upstream_instance> m_instances; ///< Instance with id n at n - 1; a restarted one is appended.
    std::vector<entry_vm> m_vms; ///< By data centre.
    std::vector<request_state> m_requests; ///< All so far.
    std::vector<attempt_state> m_attempts; ///< All so far.
    std::vector<double> m_latencies; ///< In ms, after the fault began.
    model_result m_result; ///< Counted so far.
};

} // namespace guavafront::bench
