#include "model/urgency_run.h"

#include "model/event_queue.h"
#include "model/instance_pool.h"
#include "model/urgency_configuration.h"
#include "model/urgency_request.h"

#include <guavafront/coordination/entry/entry.h>
#include <guavafront/coordination/loads/load_totals.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <variant>

namespace guavafront::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant start{seconds(1'000)};
constexpr duration oneWayDelay = milliseconds(2); ///< Between a VM and an instance.
constexpr duration resendDelay = milliseconds(50); ///< Of callers that ignore Retry-After.
constexpr duration sampleInterval = milliseconds(20); ///< Between samples of the instances' load.
/// Bytes of one instance's load in a message between VMs, and of the rest of the message.
constexpr double bytesPerLoad = 12;
constexpr double bytesPerMessage = 60;

struct vm_model {
    entry state; ///< State of the VM's entry.
    instant wake = instant::max(); ///< When the entry asked to be stepped next.
};

class urgency_model
{
public:
    explicit urgency_model(const urgency_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_configuration(makeConfiguration(options.kinds))
        , m_instances(m_events, m_random, options.instances, options.slots, options.queue)
    {
        m_result.seconds.resize(static_cast<std::size_t>(options.length / seconds(1)) + 1);
        m_events.runUntil(start);
        for (std::size_t vm = 0; vm < options.vms; ++vm) {
            m_vms.emplace_back();
            startVm(vm);
        }
    }

    urgency_result run(duration countFrom, duration countTo)
    {
        for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind) {
            m_events.at(start, [this, kind] { arrive(kind); });
        }
        m_events.at(start, [this] { sendSums(); });
        m_events.at(start, [this] { sampleLoad(); });
        m_events.at(start + m_options.left.from, [this] { announceAll(); });
        m_events.at(start + m_options.left.to, [this] { announceAll(); });
        m_events.at(start + m_options.restarted.from, [this] {
            for (std::size_t vm = 0; vm < affectedVms(m_options.restarted); ++vm) {
                restartVm(vm);
            }
        });
        m_events.runUntil(start + m_options.length + seconds(10)); // All requests have ended by then.
        return summary(countFrom, countTo);
    }

private:
    static std::string nameOf(std::size_t dataCentre)
    {
        return std::string(1, static_cast<char>('a' + dataCentre % 4));
    }

    static bool isDuring(const fault_interval &fault, instant now)
    {
        return start + fault.from <= now && now < start + fault.to;
    }

    std::size_t affectedVms(const fault_interval &fault) const
    {
        return static_cast<std::size_t>(std::lround(fault.share * m_options.vms));
    }

    void startVm(std::size_t vm)
    {
        entry_policy policy{.balancing = balancing_policy::Affinity, .urgencyOrder = m_options.urgencyOrder};
        policy.limits.fleetSizeKnown = false;
        m_vms[vm].state = makeEntry({.self = {++m_lastVm * 7'919}, .dataCentre = nameOf(vm)}, policy);
        m_vms[vm].wake = instant::max();
        perform(vm, configuration_changed{m_configuration});
        m_vms[vm].state.keysConfirmedAt = start + std::chrono::hours(1);
        perform(vm, fleet_changed{{.vmsInDataCentre = m_options.vms / 4, .vms = m_options.vms}});
        for (std::size_t index = 0; index < m_options.instances; ++index) {
            perform(vm, instance_reported{{1}, announcementOf(index)});
        }
    }

    /// Ends what the VM's requests do at instances, and starts the VM with an empty state. Their callers are lost.
    void restartVm(std::size_t vm)
    {
        for (std::size_t index = 0; index < m_requests.size(); ++index) {
            request_model &each = m_requests[index];
            if (each.vm == vm && m_vms[vm].state.exchanges.contains({index})) {
                const bool sent = m_vms[vm].state.exchanges.at({index}).stage == exchange_stage::Running;
                if (sent) {
                    apply(vm, cancel_attempt{{index}});
                }
            }
        }
        startVm(vm);
    }

    bool isAway(std::size_t instance, instant now) const
    {
        const auto away = std::lround(m_options.left.share * static_cast<double>(m_options.instances));
        return isDuring(m_options.left, now) && static_cast<std::int64_t>(instance) < away;
    }

    announcement announcementOf(std::size_t index) const
    {
        return {.instance = {index + 1},
                .sequence = m_sequence,
                .service = "service",
                .dataCentre = nameOf(index),
                .slots = m_options.slots,
                .state = isAway(index, now()) ? instance_state::Leaving : instance_state::Serving,
                .lease = std::chrono::hours(1)};
    }

    /// Has each VM hear which instances serve and which leave.
    void announceAll()
    {
        ++m_sequence;
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            for (std::size_t index = 0; index < m_options.instances; ++index) {
                perform(vm, instance_reported{{1}, announcementOf(index)});
            }
        }
    }

    instant now() const
    {
        return std::max(m_events.now(), start);
    }

    second_result *second()
    {
        const auto index = static_cast<std::size_t>((now() - start) / seconds(1));
        return index < m_result.seconds.size() ? &m_result.seconds[index] : nullptr;
    }

    void perform(std::size_t vm, const entry_event &event)
    {
        std::vector<entry_effect> effects;
        step(m_vms[vm].state, event, now(), m_random, effects);
        for (const entry_effect &each : effects) {
            std::visit(
                [this, vm](const auto &effect) {
                    if constexpr (requires { apply(vm, effect); }) {
                        apply(vm, effect);
                    }
                },
                each);
        }
    }

    void apply(std::size_t vm, const wake_at &effect)
    {
        m_vms[vm].wake = effect.when;
        m_events.at(effect.when, [this, vm, when = effect.when] {
            if (m_vms[vm].wake == when) {
                m_vms[vm].wake = instant::max();
                perform(vm, time_passed{});
            }
        });
    }

    void apply(std::size_t vm, const report_loads &effect)
    {
        m_sumBytes += bytesPerMessage + bytesPerLoad * static_cast<double>(effect.loads.size());
        m_events.after(m_options.sumDelay, [this, loads = effect.loads, self = m_vms[vm].state.identity.self] {
            recordLoads(m_totals, self, loads, now());
        });
    }

    /// Sends the sums to all VMs, in place of all hubs.
    void sendSums()
    {
        const bool silent = isDuring(m_options.silentHub, now());
        const std::vector<instance_load> loads =
            silent ? std::vector<instance_load>() : takeChangedLoads(m_totals, now());
        if (!loads.empty()) {
            m_sumBytes += (bytesPerMessage + bytesPerLoad * static_cast<double>(loads.size())) * m_options.vms;
            m_events.after(m_options.sumDelay, [this, loads] {
                for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                    perform(vm, hub_loads_received{loads});
                }
            });
        }
        m_events.after(milliseconds(100), [this] { sendSums(); });
    }

    void sampleLoad()
    {
        double requests = 0;
        double slots = 0;
        for (std::size_t index = 0; index < m_options.instances; ++index) {
            requests += static_cast<double>(m_instances.loadOf(index));
            slots += isAway(index, now()) ? 0 : m_options.slots;
        }
        if (second_result *current = second()) {
            const double load = requests / std::max(slots, 1.0);
            const double part = static_cast<double>(sampleInterval.count()) / 1e6;
            current->instanceLoad += load * part;
            current->instanceLoadDeviation += load * load * part; // The mean square; see summary().
            m_events.after(sampleInterval, [this] { sampleLoad(); });
        }
    }

    void apply(std::size_t /*vm*/, const start_attempt &effect)
    {
        const std::size_t index = effect.id.value;
        request_model &request = m_requests[index];
        request.instance = effect.instance.value - 1;
        request.attemptStartedAt = now();
        request.held = 0;
        ++request.attempts;
        if (second_result *current = second()) {
            ++current->attempts;
        }
        m_events.after(oneWayDelay,
                       [this, index, attemptNumber = request.attempts] { reachInstance(index, attemptNumber); });
    }

    /// The instance drops the request, since the VM closes its connection.
    void apply(std::size_t /*vm*/, const cancel_attempt &effect)
    {
        request_model &request = m_requests[effect.id.value];
        ++request.attempts;
        m_instances.cancel(request.held);
    }

    void apply(std::size_t /*vm*/, const deliver_answer &effect)
    {
        const request_model &request = m_requests[effect.id.value];
        request_model &first = m_requests[request.first];
        first.served = true;
        first.inTarget = now() - request.arrived <= m_options.kinds[request.kind].target;
    }

    void apply(std::size_t /*vm*/, const refuse_request &effect)
    {
        const std::size_t index = effect.id.value;
        const request_model &request = m_requests[index];
        const request_kind &kind = m_options.kinds[request.kind];
        m_requests[request.first].refusedLate |= now() - request.arrived > kind.target / 3;
        const duration left = request.arrived + kind.timeout - now();
        m_result.lateRetries += effect.reason.retryAfter > std::max(left / 3, duration(1'000)) ? 1U : 0U;
        if (request.sending < kind.resends && effect.reason.ran == execution::NotRun) {
            const duration wait = kind.ignoresRetryAfter ? resendDelay : effect.reason.retryAfter;
            m_events.after(wait, [this, index] {
                const request_model &refused = m_requests[index];
                sendRequest(refused.kind, refused.first, refused.sending + 1);
            });
        }
    }

    void apply(std::size_t /*vm*/, const report_admission_wait &effect)
    {
        ++m_result.predictions;
        m_result.predictionErrorMs += std::abs(static_cast<double>((effect.predicted - effect.waited).count())) / 1e3;
    }

    void arrive(std::size_t kind)
    {
        const duration since = now() - start;
        if (since >= m_options.length) {
            return;
        }
        double rate = m_options.kinds[kind].requestsPerSecond;
        for (const load_surge &each : m_options.surges) {
            const bool on = each.kind == m_options.kinds[kind].name && each.from <= since && since < each.to;
            rate *= on ? each.factor : 1;
        }
        sendRequest(kind, m_requests.size(), 0);
        m_events.after(exponential(1e6 / rate), [this, kind] { arrive(kind); });
    }

    void sendRequest(std::size_t kind, std::size_t first, std::uint32_t sending)
    {
        const auto loaded = static_cast<std::size_t>(std::lround(m_options.vmsWithLoad * m_options.vms));
        const std::size_t vm = m_random() % loaded;
        const exchange_id id{m_requests.size()};
        m_requests.push_back({.kind = kind, .vm = vm, .first = first, .sending = sending, .arrived = now()});
        const std::string path = "/" + m_options.kinds[kind].name;
        perform(vm, request_arrived{{.id = id,
                                     .method = "POST",
                                     .host = "any.example",
                                     .path = path,
                                     .key = keyOfKind(kind),
                                     .digest = {.high = 0, .low = id.value}}});
    }

    duration exponential(double meanUs)
    {
        return duration(static_cast<std::int64_t>(std::exponential_distribution<double>(1 / meanUs)(m_random)));
    }

    void reachInstance(std::size_t index, std::uint32_t attemptNumber)
    {
        const request_model &request = m_requests[index];
        if (request.attempts != attemptNumber) {
            return;
        }
        const bool refuses = isDuring(m_options.refusing, now())
                             && std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.refusing.share;
        if (refuses) {
            endAttempt(index, attempt_outcome::RefusedNotRun);
            return;
        }
        const std::uint64_t held =
            m_instances.receive(request.instance, m_options.kinds[request.kind].work, [this, index](bool answered) {
                endAttempt(index, answered ? attempt_outcome::Answered : attempt_outcome::RefusedNotRun);
            });
        m_requests[index].held = held;
    }

    /// Ends the current attempt of a request. Its VM gets the result after the network delay.
    void endAttempt(std::size_t index, attempt_outcome outcome)
    {
        constexpr std::uint16_t ok = 200;
        if (second_result *current = second(); current && outcome == attempt_outcome::RefusedNotRun) {
            ++current->instanceRefusals;
        }
        attempt_result result{.outcome = outcome, .mayHaveBeenSent = true};
        result.status = outcome == attempt_outcome::Answered ? ok : std::uint16_t{0};
        m_events.after(oneWayDelay, [this, index, result, attemptNumber = m_requests[index].attempts]() mutable {
            const request_model &ended = m_requests[index];
            if (ended.attempts == attemptNumber) {
                result.latency = now() - ended.attemptStartedAt;
                perform(ended.vm, attempt_ended{{index}, result, {}});
            }
        });
    }

    urgency_result summary(duration countFrom, duration countTo)
    {
        m_result.kinds.resize(m_options.kinds.size());
        for (std::size_t index = 0; index < m_requests.size(); ++index) {
            const request_model &each = m_requests[index];
            const duration since = each.arrived - start;
            if (each.first != index || since >= m_options.length) {
                continue;
            }
            count(m_result.seconds[static_cast<std::size_t>(since / seconds(1))].all, each);
            if (countFrom <= since && since < countTo) {
                count(m_result.kinds[each.kind], each);
            }
        }
        for (second_result &each : m_result.seconds) {
            const double square = each.instanceLoad * each.instanceLoad;
            each.instanceLoadDeviation = std::sqrt(std::max(0.0, each.instanceLoadDeviation - square));
        }
        m_result.predictionErrorMs /= std::max<double>(1, static_cast<double>(m_result.predictions));
        m_result.sumBytesPerSecond =
            m_sumBytes / m_options.vms / std::chrono::duration<double>(m_options.length).count();
        return m_result;
    }

    urgency_options m_options; ///< Options of the run.
    std::mt19937_64 m_random; ///< Source of all random numbers.
    event_queue m_events; ///< Events on virtual time.
    std::shared_ptr<const configuration> m_configuration; ///< Configuration of all VMs.
    instance_pool m_instances; ///< Instances of the service.
    std::vector<vm_model> m_vms; ///< All entry VMs.
    std::uint64_t m_lastVm = 0; ///< Number of the VM that started last.
    std::uint64_t m_sequence = 1; ///< Number of the instances' last announcements.
    load_totals m_totals; ///< Sums of the VMs' requests by instance.
    std::deque<request_model> m_requests; ///< All sendings, by index.
    double m_sumBytes = 0; ///< Bytes of reports and sums that all VMs sent and received.
    urgency_result m_result; ///< Counts so far.
};

} // namespace

urgency_result run(const urgency_options &options, duration countFrom, duration countTo)
{
    return urgency_model(options).run(countFrom, countTo);
}

} // namespace guavafront::bench
