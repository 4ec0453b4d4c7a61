#include "model/placement_run.h"

#include "model/event_queue.h"
#include "model/placement_state.h"

#include <guavafront/coordination/loads/load_reporter.h>
#include <guavafront/coordination/routing/affinity.h>
#include <guavafront/coordination/work/work_estimates.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <random>
#include <vector>

namespace guavafront::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr duration delayInDataCentre = std::chrono::microseconds(100);
/// Period of the reports of VMs and hubs for load_source::InstanceReports.
constexpr duration instanceReportPeriod = milliseconds(200);
constexpr std::size_t hubs = 3; ///< One hub in each data centre.

class placement_model
{
public:
    explicit placement_model(const placement_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_loadTotals(hubs)
        , m_vmLoadTotals(hubs)
    {
        if (m_options.kinds.empty()) {
            m_options.kinds.push_back({.meanServiceTime = options.meanServiceTime,
                                       .sigma = options.serviceTimeSigma,
                                       .latencyTarget = options.latencyTarget});
        }
        m_result.requestsByKind.resize(m_options.kinds.size());
        m_result.inTimeByKind.resize(m_options.kinds.size());
        for (std::size_t dataCentre = 0; dataCentre < options.instances.size(); ++dataCentre) {
            m_instances.insert(m_instances.end(), options.instances[dataCentre], {.dataCentre = dataCentre});
        }
        for (std::size_t dataCentre = 0; dataCentre < options.vms.size(); ++dataCentre) {
            for (std::uint32_t index = 0; index < options.vms[dataCentre]; ++index) {
                m_vms.push_back(makeVm(dataCentre));
            }
        }
    }

    placement_result run()
    {
        const instant end = start + m_options.length;
        m_events.at(start, [this] { arrive(); });
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            report(vm);
        }
        for (std::size_t hub = 0; hub < hubs; ++hub) {
            sendLoads(hub);
        }
        if (m_options.restartAt < m_options.length) {
            m_events.at(start + m_options.restartAt, [this] { restartThird(); });
        }
        m_events.runUntil(end + std::chrono::seconds(20)); // All requests have ended by then.
        return summary();
    }

private:
    static constexpr instant start{std::chrono::seconds(100)};

    vm_model makeVm(std::size_t dataCentre) const
    {
        vm_model vm{.dataCentre = dataCentre};
        for (const bool near : {true, false}) {
            for (std::size_t index = 0; index < m_instances.size(); ++index) {
                if ((m_instances[index].dataCentre == dataCentre) == near) {
                    vm.set.members.push_back({.instance = {index + 1}, .slots = m_options.slots});
                }
            }
            vm.set.nearCount = near ? static_cast<std::uint32_t>(vm.set.members.size()) : vm.set.nearCount;
        }
        vm.set.typicalLatencyUs = static_cast<float>(m_options.meanServiceTime.count());
        return vm;
    }

    candidate &memberOf(vm_model &vm, std::size_t instance)
    {
        return *findCandidate(vm.set, {instance + 1});
    }

    duration oneWayDelayTo(const request_model &request) const
    {
        const bool near = m_vms[request.vm].dataCentre == m_instances[request.instance].dataCentre;
        return near ? delayInDataCentre : m_options.oneWayDelay;
    }

    double rateAt(instant now) const
    {
        const duration since = now - start;
        const bool burst = since >= m_options.burstFrom && since < m_options.burstTo;
        return m_options.requestsPerSecond * (burst ? m_options.burstFactor : 1);
    }

    void arrive()
    {
        const instant now = m_events.now();
        if (now >= start + m_options.length) {
            return;
        }
        send(drawVm(now));
        const double seconds = std::exponential_distribution<double>(rateAt(now))(m_random);
        m_events.after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)),
                       [this] { arrive(); });
    }

    /// The VM of the next request: one after the other, the data centres have more or less than their part of them.
    std::size_t drawVm(instant now)
    {
        std::uniform_int_distribution<std::size_t> anyVm(0, m_vms.size() - 1);
        while (m_options.swing > 0) {
            const std::size_t vm = anyVm(m_random);
            const double turns = std::chrono::duration<double>(now - start) / m_options.swingPeriod
                                 - static_cast<double>(m_vms[vm].dataCentre) / hubs;
            const double wanted = 1 + m_options.swing * std::sin(2 * std::numbers::pi * turns);
            if (std::uniform_real_distribution<double>(0, 1 + m_options.swing)(m_random) < wanted) {
                return vm;
            }
        }
        return anyVm(m_random);
    }

    static work_key keyOf(std::size_t kind)
    {
        return {.service = "service", .route = {static_cast<std::uint32_t>(kind + 1)}, .account = {}};
    }

    work_estimates &workOf(vm_model &vm)
    {
        return m_options.sharesEstimates ? m_sharedWork : vm.work;
    }

    void restartThird()
    {
        for (std::size_t vm = 0; vm < m_vms.size(); vm += 3) {
            m_vms[vm].work = {};
            for (candidate &member : m_vms[vm].set.members) {
                member.slowness = 1;
                member.latencyUs = 0;
                member.loadReportedAt = {};
            }
        }
    }

    void send(std::size_t vm)
    {
        const instant now = m_events.now();
        vm_model &sender = m_vms[vm];
        const std::size_t kind = drawKind(m_options.kinds, m_random);
        const bool isKnown = isWorkKnown(workOf(sender), keyOf(kind));
        const choice_request choice{.excluded = {},
                                    .work = isKnown ? estimateWork(workOf(sender), keyOf(kind)).mean : duration(),
                                    .byWork = m_options.byWork && doRoutesDiffer(workOf(sender), keyOf(kind).service)};
        const auto chosen = chooseByAffinity(sender.set, m_noAvoidance, {vm * 7'919 + 1}, choice, now);
        const std::size_t index = m_requests.size();
        m_requests.push_back({.vm = vm, .instance = chosen->instance.value - 1, .arrived = now, .kind = kind});
        candidate &member = memberOf(sender, m_requests[index].instance);
        onRequestSent(member, choice.work);
        m_requests[index].work = choice.work;
        m_requests[index].wait = expectedWait(sender.set, member, choice, now);
        countSlow(m_slow, m_options, m_requests[index].instance, now - start);
        sender.reporter.changed = true;
        const duration delay = oneWayDelayTo(m_requests[index]);
        m_sentToOtherDataCentres += delay == m_options.oneWayDelay ? 1 : 0;
        m_events.after(delay, [this, index] { reachInstance(index); });
    }

    void reachInstance(std::size_t index)
    {
        instance_model &at = m_instances[m_requests[index].instance];
        if (at.running < m_options.slots) {
            ++at.running;
            beginService(index);
        } else if (at.waiting.size() < m_options.queue) {
            at.waiting.push_back(index);
        } else {
            m_events.after(oneWayDelayTo(m_requests[index]), [this, index] { endAttempt(index, false); });
        }
    }

    bool isSlow(std::size_t instance) const
    {
        const duration since = m_events.now() - start;
        return instance < m_options.slowInstances && since >= m_options.slowFrom && since < m_options.slowTo;
    }

    void beginService(std::size_t index)
    {
        const placement_kind &kind = m_options.kinds[m_requests[index].kind];
        const double mean = std::log(static_cast<double>(kind.meanServiceTime.count())) - kind.sigma * kind.sigma / 2;
        double work = std::lognormal_distribution<double>(mean, kind.sigma)(m_random);
        work *= isSlow(m_requests[index].instance) ? m_options.slowFactor : 1;
        const bool costsMore = m_requests[index].kind == 0 && m_events.now() - start >= m_options.costChangeAt;
        work *= costsMore ? m_options.costFactor : 1;
        m_events.after(duration(static_cast<std::int64_t>(work)), [this, index] { finishService(index); });
    }

    void finishService(std::size_t index)
    {
        instance_model &at = m_instances[m_requests[index].instance];
        --at.running;
        if (!at.waiting.empty()) {
            const std::size_t next = at.waiting.front();
            at.waiting.erase(at.waiting.begin());
            ++at.running;
            beginService(next);
        }
        const auto requestsLeft = static_cast<std::uint32_t>(at.running + at.waiting.size());
        m_events.after(oneWayDelayTo(m_requests[index]), [this, index, requestsLeft] {
            recordReportedLoad(index, requestsLeft);
            endAttempt(index, true);
        });
    }

    /// Records the load that the instance reports with its answer.
    void recordReportedLoad(std::size_t index, std::uint32_t requestsLeft)
    {
        const request_model &request = m_requests[index];
        vm_model &vm = m_vms[request.vm];
        onLoadReported(memberOf(vm, request.instance), requestsLeft + 1, m_events.now());
        vm.instanceLoads[{request.instance + 1}] = {
            .instance = {request.instance + 1}, .requests = requestsLeft, .age = {}};
    }

    void endAttempt(std::size_t index, bool answered)
    {
        const request_model &request = m_requests[index];
        vm_model &vm = m_vms[request.vm];
        candidate &member = memberOf(vm, request.instance);
        const duration latency = m_events.now() - request.arrived;
        if (answered) {
            onRequestAnswered(vm.set, member, latency, m_events.now(), request.work);
            recordWork(workOf(vm), keyOf(request.kind), std::max(latency / 4, latency - request.wait), m_events.now());
            if (request.work > duration::zero()) {
                recordSlowness(member, latency, request.work + request.wait, m_events.now());
            }
        } else {
            onRequestEnded(member, request.work);
        }
        vm.reporter.changed = true;
        count(request, answered, latency);
    }

    void count(const request_model &request, bool answered, duration latency)
    {
        const bool inTime = answered && latency <= m_options.kinds[request.kind].latencyTarget;
        ++m_result.requests;
        ++m_result.requestsByKind[request.kind];
        m_result.inTimeByKind[request.kind] += inTime ? 1 : 0;
        m_result.inTime += inTime ? 1 : 0;
        m_result.late += answered && !inTime ? 1 : 0;
        m_result.refused += answered ? 0 : 1;
        if (answered) {
            m_latencies.push_back(static_cast<double>(latency.count()) / 1'000);
        }
        auto &window = m_windows[(request.arrived - start) / std::chrono::seconds(2)];
        window.first += inTime ? 1 : 0;
        ++window.second;
    }

    duration period() const
    {
        return m_options.loadSource == load_source::FleetSums ? load_reporter{}.reportInterval : instanceReportPeriod;
    }

    void report(std::size_t index)
    {
        vm_model &vm = m_vms[index];
        std::vector<instance_load> loads;
        if (m_options.loadSource == load_source::FleetSums) {
            const bool withWork = m_options.byWork && doRoutesDiffer(workOf(vm), keyOf(0).service);
            collectDueLoads(vm.reporter, vm.set.members, m_events.now(), loads, withWork);
        } else if (m_options.loadSource == load_source::InstanceReports) {
            for (const auto &[instance, load] : std::exchange(vm.instanceLoads, {})) {
                loads.push_back(load);
            }
        }
        if (!loads.empty()) {
            const vm_id reporter{index + 1};
            m_events.after(delayInDataCentre,
                           [this, hub = vm.dataCentre, reporter, loads] { receiveLoads(hub, reporter, loads, true); });
        }
        m_events.after(period() + randomShare(), [this, index] { report(index); });
    }

    /// Random part of the report period, so that the VMs do not report at the same time.
    duration randomShare()
    {
        return duration(static_cast<std::int64_t>(m_random() % 5'000));
    }

    void receiveLoads(std::size_t hub, vm_id reporter, const std::vector<instance_load> &loads, bool fromVm)
    {
        // The newest load that an instance reported replaces older ones, whichever VM sent it; outstanding requests are
        // summed over VMs.
        const vm_id source = m_options.loadSource == load_source::InstanceReports ? vm_id{1} : reporter;
        recordLoads(m_loadTotals[hub], source, loads, m_events.now());
        if (fromVm) {
            recordLoads(m_vmLoadTotals[hub], source, loads, m_events.now());
        }
    }

    void sendLoads(std::size_t hub)
    {
        const instant now = m_events.now();
        const std::vector<instance_load> own = takeChangedLoads(m_vmLoadTotals[hub], now);
        for (std::size_t other = 0; other < hubs; ++other) {
            if (other != hub && !own.empty()) {
                const vm_id reporter{1'000 + hub};
                m_events.after(m_options.oneWayDelay,
                               [this, other, reporter, own] { receiveLoads(other, reporter, own, false); });
            }
        }
        const bool died = now - start >= m_options.hubsDieAt;
        const std::vector<instance_load> all =
            died ? std::vector<instance_load>() : takeChangedLoads(m_loadTotals[hub], now);
        for (vm_model &vm : m_vms) {
            if (vm.dataCentre == hub && !all.empty()) {
                m_events.after(delayInDataCentre + m_options.sumsDelay, [this, &vm, all] { applyLoads(vm, all); });
            }
        }
        m_events.after(period(), [this, hub] { sendLoads(hub); });
    }

    void applyLoads(vm_model &vm, const std::vector<instance_load> &all)
    {
        const instant at = m_events.now() - period();
        for (const instance_load &each : all) {
            applyReportedLoad(*findCandidate(vm.set, each.instance), each, at);
        }
    }

    placement_result summary()
    {
        placement_result result = m_result;
        for (const auto &[number, window] : m_windows) {
            result.worstTwoSeconds =
                std::min(result.worstTwoSeconds, static_cast<double>(window.first) / window.second);
        }
        std::ranges::sort(m_latencies);
        result.p99Ms = m_latencies.empty() ? 0 : m_latencies[m_latencies.size() * 99 / 100];
        result.farShare = static_cast<double>(m_sentToOtherDataCentres)
                          / static_cast<double>(std::max<std::size_t>(m_requests.size(), 1));
        result.slowShareLate = m_slow.whileSlow.first / std::max(1.0, m_slow.whileSlow.second);
        result.fromSlowShare = m_slow.afterwards.first / std::max(1.0, m_slow.afterwards.second);
        return result;
    }

    placement_options m_options; ///< Options of the run.
    std::mt19937_64 m_random; ///< Source of all random numbers.
    event_queue m_events; ///< Events on virtual time.
    avoidance m_noAvoidance; ///< Empty, since all instances are healthy.
    std::vector<instance_model> m_instances; ///< Instances of the service.
    std::vector<vm_model> m_vms; ///< All entry VMs.
    std::vector<load_totals> m_loadTotals; ///< Loads of the whole fleet, by hub.
    std::vector<load_totals> m_vmLoadTotals; ///< Loads that the VMs of the hub's data centre reported, by hub.
    std::vector<request_model> m_requests; ///< All requests, by index.
    std::vector<double> m_latencies; ///< Latencies of the answers, in milliseconds.
    /// Numbers of requests answered in time and of all requests, by windows of 2 s.
    std::map<std::int64_t, std::pair<int, int>> m_windows;
    std::size_t m_sentToOtherDataCentres = 0; ///< Requests sent to another data centre.
    work_estimates m_sharedWork; ///< What requests cost, learned from the requests of all VMs.
    slow_counts m_slow; ///< Requests to slow instances.
    placement_result m_result; ///< Counts of the run so far.
};

} // namespace

placement_result run(const placement_options &options)
{
    return placement_model(options).run();
}

} // namespace guavafront::bench
