#include "model/warmup_run.h"

#include "model/event_queue.h"

#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace guavafront::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant start{seconds(100)};
constexpr instant coldAt = start + seconds(5);
constexpr duration sumsPeriod = milliseconds(100);
/// Share of the requests that a lost packet delays on their way, and by how much.
constexpr double delayedShare = 0.02;
constexpr duration packetLossDelay = milliseconds(220);

struct instance_model {
    std::uint32_t requests = 0; ///< Requests that it runs.
    instant coldUntil{}; ///< End of its warm-up; the beginning of time if it is never cold.
    std::vector<instant> arrivals; ///< Arrivals of requests while it was cold.
    double tokens = 0; ///< Requests that the hub may grant now.
    instant tokensAt{}; ///< When tokens was computed.
};

struct vm_model {
    upstream_selection selection; ///< The VM's decisions.
    bool alive = true; ///< It runs.
    bool cutOff = false; ///< It reaches no other VM.
};

std::string nameOfPart(char kind, std::size_t index)
{
    return kind + std::to_string(index);
}

class warmup_model
{
public:
    explicit warmup_model(const warmup_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_known{.self = {1}}
        , m_instances(options.instances)
    {
        for (std::size_t index = 0; index < options.instances; ++index) {
            learn(m_known, {2},
                  {.instance = {m_random() | 1},
                   .sequence = 1,
                   .service = nameOfPart('s', index % options.services),
                   .dataCentre = nameOfPart('d', index / options.services % options.dataCentres),
                   .slots = 6,
                   .lease = seconds(1'000)},
                  start);
        }
        for (const service_instances &service : m_known.services) {
            for (const registered_instance &each : service.instances) {
                m_indexes[each.last.instance] = m_indexes.size();
            }
        }
        for (std::size_t vm = 0; vm < options.vms; ++vm) {
            m_vms.push_back({makeVm(vm, {m_random() | 1}, start - seconds(60))});
        }
        for (vm_model &vm : m_vms) {
            updateEntryVms(vm.selection.warmups, viewOf(vm));
        }
    }

    warmup_result run()
    {
        m_events.at(start, [this] { arrive(); });
        m_events.at(start, [this] { tellLoads(); });
        m_events.at(coldAt - seconds(1), [this] { cut(); });
        m_events.at(coldAt, [this] { cool(); });
        m_events.at(coldAt + milliseconds(500), [this] { restart(); });
        m_events.runUntil(coldAt + m_options.warmupTime + seconds(1));
        return summary();
    }

private:
    upstream_selection makeVm(std::size_t index, vm_id self, instant startedAt) const
    {
        upstream_selection vm{.self = self,
                              .dataCentre = nameOfPart('d', index % m_options.dataCentres),
                              .policy = balancing_policy::Affinity};
        vm.warmups.self = self;
        vm.warmups.startedAt = startedAt;
        vm.warmups.bounds = m_options.bounds;
        for (std::size_t service = 0; m_options.way == warmup_way::Senders && service < m_options.services; ++service) {
            vm.warmups.limits.push_back(m_options.limit);
            vm.warmups.limits.back().service = nameOfPart('s', service);
        }
        followRegistry(vm, m_known);
        for (upstream_service &service : vm.services) {
            service.candidates.typicalLatencyUs = static_cast<float>(m_options.serviceTime.count());
        }
        return vm;
    }

    /// The fleet as a VM sees it.
    entry_vm_view viewOf(const vm_model &vm)
    {
        entry_vm_view view;
        for (const vm_model &other : m_vms) {
            const bool self = &other == &vm;
            const bool together =
                self || (m_options.cutOffDataCentre ? other.cutOff == vm.cutOff : !vm.cutOff && !other.cutOff);
            if (!self && std::bernoulli_distribution(m_options.viewGaps)(m_random)) {
                continue;
            }
            auto &list = together ? view.live : view.declaredDead;
            list.push_back({other.selection.self, other.selection.dataCentre});
        }
        view.seesMajority = view.live.size() >= view.declaredDead.size();
        return view;
    }

    void cut()
    {
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            m_vms[index].cutOff =
                m_options.cutOffDataCentre ? index % m_options.dataCentres == 0 : index < m_options.cutOff;
        }
        for (vm_model &vm : m_vms) {
            updateEntryVms(vm.selection.warmups, viewOf(vm));
        }
    }

    void cool()
    {
        const instant until = coldAt + m_options.warmupTime;
        for (const service_instances &service : m_known.services) {
            for (const registered_instance &each : service.instances) {
                const bool isCold = m_options.wholeDataCentre
                                        ? each.last.dataCentre == "d1"
                                        : std::bernoulli_distribution(m_options.coldShare)(m_random);
                if (isCold) {
                    m_instances[m_indexes[each.last.instance]].coldUntil = until;
                    m_instances[m_indexes[each.last.instance]].tokensAt = coldAt;
                    tellCold(each.last.instance, until);
                }
            }
        }
        for (std::size_t index = 0; index < m_options.lost; ++index) {
            m_vms[m_vms.size() - 1 - index].alive = false;
        }
    }

    void tellCold(instance_id instance, instant until)
    {
        for (vm_model &vm : m_vms) {
            const auto longest = static_cast<std::uint64_t>(m_options.longestNoticeDelay.count());
            m_events.after(duration(static_cast<std::int64_t>(m_random() % longest)), [this, &vm, instance, until] {
                if (!vm.cutOff) {
                    markCold(vm.selection.warmups, instance, until, m_events.now());
                }
            });
        }
    }

    void restart()
    {
        for (std::size_t index = 0; index < m_options.restarted; ++index) {
            vm_model &vm = m_vms[m_vms.size() - 1 - index];
            vm.selection = makeVm(m_vms.size() - 1 - index, {m_random() | 1}, m_events.now());
            for (const auto &[instance, place] : m_indexes) {
                markCold(vm.selection.warmups, instance, m_instances[place].coldUntil, m_events.now());
            }
        }
        for (vm_model &vm : m_vms) {
            updateEntryVms(vm.selection.warmups, viewOf(vm));
        }
    }

    /// Sends each VM the sums of all VMs' requests.
    void tellLoads()
    {
        std::vector<instance_load> loads;
        for (const auto &[instance, place] : m_indexes) {
            loads.push_back({.instance = instance, .requests = m_instances[place].requests, .age = {}});
        }
        for (vm_model &vm : m_vms) {
            if (!vm.cutOff) {
                applyReportedLoads(vm.selection, m_known, loads, m_events.now());
                vm.selection.warmups.lastNewsAt = m_events.now();
            }
        }
        m_events.after(sumsPeriod, [this] { tellLoads(); });
    }

    void arrive()
    {
        vm_model &vm = m_vms[m_random() % m_vms.size()];
        if (vm.alive) {
            send(vm, drawService());
        }
        const double gap = std::exponential_distribution<double>(m_options.requestsPerSecond)(m_random);
        m_events.after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)), [this] { arrive(); });
    }

    std::string drawService()
    {
        const bool busiest = m_options.services == 1 || std::bernoulli_distribution(m_options.busiestShare)(m_random);
        return nameOfPart('s', busiest ? 0 : 1 + m_random() % (m_options.services - 1));
    }

    void send(vm_model &vm, const std::string &service)
    {
        const instant now = m_events.now();
        const bool counts = now >= coldAt && now < coldAt + m_options.warmupTime;
        m_requests += counts ? 1 : 0;
        const std::vector<instance_id> excluded = excludedByModel(vm, service);
        const auto chosen = selectByAffinity(vm.selection, m_known, service, {.excluded = excluded}, now);
        if (!chosen) {
            m_refused += counts ? 1 : 0;
            return;
        }
        const instance_id instance = chosen->choice.instance;
        const std::size_t place = m_indexes[instance];
        if (now < m_instances[place].coldUntil) {
            vm.selection.warmups.lastSentAt[instance] = now; // Of ways that selectByAffinity() doesn't know.
            m_instances[place].tokens -= 1;
        }
        const bool delayed = std::bernoulli_distribution(delayedShare)(m_random);
        m_events.after(milliseconds(2) + (delayed ? packetLossDelay : duration()),
                       [this, &vm, service, instance, place, now] { runAt(vm, service, instance, place, now); });
    }

    void runAt(vm_model &vm, const std::string &service, instance_id instance, std::size_t place, instant sentAt)
    {
        instance_model &at = m_instances[place];
        ++at.requests;
        const bool cold = m_events.now() >= coldAt && m_events.now() < at.coldUntil;
        if (cold) {
            at.arrivals.push_back(m_events.now());
        }
        const double mean = static_cast<double>(m_options.serviceTime.count()) * (cold ? m_options.coldSlowness : 1);
        const double took = std::exponential_distribution<double>(1 / mean)(m_random);
        m_events.after(duration(static_cast<std::int64_t>(took)), [this, &vm, &at, service, instance, sentAt] {
            --at.requests;
            finishAttempt(vm.selection, m_known, service,
                          {.instance = instance, .kind = outcome_kind::Answered, .latency = m_events.now() - sentAt},
                          m_events.now());
        });
    }

    /// Cold instances that the ways outside of coordination/warmup allow no request to.
    std::vector<instance_id> excludedByModel(vm_model &vm, const std::string &service)
    {
        std::vector<instance_id> excluded;
        if (m_options.way != warmup_way::FixedShare && m_options.way != warmup_way::Hub) {
            return excluded;
        }
        for (const candidate &member : findCandidates(vm.selection, m_known, service)->members) {
            if (isCold(vm.selection.warmups, member.instance, m_events.now()) && !isAllowed(vm, member.instance)) {
                excluded.push_back(member.instance);
            }
        }
        return excluded;
    }

    bool isAllowed(vm_model &vm, instance_id instance)
    {
        const instant now = m_events.now();
        if (m_options.way == warmup_way::FixedShare) {
            const auto last = vm.selection.warmups.lastSentAt.find(instance);
            const std::chrono::duration<double> spacing(m_options.vms / m_options.limit.perSecond);
            return last == vm.selection.warmups.lastSentAt.end() || last->second < coldAt
                   || now >= last->second + std::chrono::duration_cast<duration>(spacing);
        }
        instance_model &at = m_instances[m_indexes[instance]];
        const double most = (m_options.limit.perSecond * m_options.bounds.overshoot + m_options.bounds.slack) / 2
                            - m_options.limit.perSecond;
        const std::chrono::duration<double> passed = now - at.tokensAt;
        at.tokens = std::min(most, at.tokens + passed.count() * m_options.limit.perSecond);
        at.tokensAt = now;
        return !m_options.hubLost && !vm.cutOff && at.tokens >= 1;
    }

    warmup_result summary() const
    {
        warmup_result result;
        std::size_t cold = 0;
        for (const instance_model &each : m_instances) {
            if (each.coldUntil == instant{}) {
                continue;
            }
            ++cold;
            const duration first = each.arrivals.empty() ? m_options.warmupTime : each.arrivals.front() - coldAt;
            result.longestWait = std::max(result.longestWait, std::chrono::duration<double>(first).count());
            result.starved += first > seconds(2) ? 1 : 0;
            result.perSecond += static_cast<double>(each.arrivals.size());
            for (auto from = each.arrivals.begin(); from != each.arrivals.end(); ++from) {
                const auto to = std::upper_bound(from, each.arrivals.end(), *from + seconds(1));
                result.mostInSecond = std::max(result.mostInSecond, static_cast<std::uint32_t>(to - from));
            }
        }
        const std::chrono::duration<double> warmupTime = m_options.warmupTime;
        result.perSecond /= std::max(1.0, static_cast<double>(cold)) * warmupTime.count();
        result.refused = static_cast<double>(m_refused) / static_cast<double>(std::max<std::uint64_t>(1, m_requests));
        return result;
    }

    warmup_options m_options;
    std::mt19937_64 m_random;
    registry m_known; ///< All instances, known to all VMs.
    std::vector<instance_model> m_instances;
    std::unordered_map<instance_id, std::size_t> m_indexes; ///< Index into m_instances.
    std::vector<vm_model> m_vms;
    event_queue m_events;
    std::uint64_t m_requests = 0; ///< Requests that arrived while instances were cold.
    std::uint64_t m_refused = 0; ///< Those that were refused.
};

} // namespace

std::string_view nameOf(warmup_way way)
{
    switch (way) {
    case warmup_way::None:
        return "none";
    case warmup_way::FixedShare:
        return "fixed share";
    case warmup_way::Hub:
        return "hub";
    case warmup_way::Senders:
        break;
    }
    return "senders";
}

warmup_result run(const warmup_options &options)
{
    return warmup_model(options).run();
}

} // namespace guavafront::bench
