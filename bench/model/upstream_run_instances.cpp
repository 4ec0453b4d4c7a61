#include "model/upstream_run.h"

#include <algorithm>
#include <cmath>

namespace guavafront::bench
{

using namespace std::chrono_literals;

void upstream_run::addInstance(std::size_t dataCentre, instant startedAt)
{
    const std::uint64_t id = m_instances.size() + 1;
    upstream_instance added{.dataCentre = dataCentre, .startedAt = startedAt};
    added.self = {.instance = {id},
                  .sequence = 1,
                  .service = std::string(serviceName),
                  .ip = "10.0.0.1",
                  .port = 80,
                  .dataCentre = std::string(1, static_cast<char>('a' + dataCentre)),
                  .slots = m_options.slots,
                  .lease = announcementLease};
    m_instances.push_back(added);
    for (entry_vm &vm : m_vms) {
        announceTo(vm, added.self);
    }
}

void upstream_run::schedulePoison()
{
    m_events.at(std::max(m_events.now() + 300ms, faultBegin), [this] {
        schedulePoison();
        arrive({.repeatable = true, .poison = true, .arrived = m_events.now()});
    });
}

bool upstream_run::isBlocked(std::size_t vm, std::size_t instance) const
{
    if (!faultActive() || instance != 0) {
        return false;
    }
    return (m_options.fault == fault_kind::UnreachableFromDataCentre && dataCentreOf(vm) == 0)
           || (m_options.fault == fault_kind::OneBadLink && vm == 0);
}

bool upstream_run::faultActive() const
{
    return m_events.now() >= faultBegin;
}

void upstream_run::reachInstance(std::size_t index)
{
    upstream_instance &instance = m_instances[m_attempts[index].instance];
    const duration back = roundTripTo(m_attempts[index].vm, m_attempts[index].instance) / 2;
    if (!instance.alive) {
        m_events.after(back, [this, index] { endAttempt(index, outcome_kind::ConnectionLost, false); });
    } else if (instance.busy < instance.self.slots) {
        startService(index);
    } else if (instance.waiting.size() < instance.self.slots) {
        instance.waiting.push_back(index);
    } else {
        m_events.after(back, [this, index] { endAttempt(index, outcome_kind::Shed, true); });
    }
}

double upstream_run::slowdownOf(std::size_t index) const
{
    const upstream_instance &instance = m_instances[index];
    const double age = std::chrono::duration<double>(m_events.now() - instance.startedAt).count();
    const double cold = age < 10 && faultActive() ? 1 + 7 * (1 - age / 10) : 1;
    if (!faultActive()) {
        return cold;
    }
    const bool slow =
        (m_options.fault == fault_kind::Slow && index == 0) || (m_options.fault == fault_kind::TwoSlow && index < 2);
    const bool wrongLoad = m_options.fault == fault_kind::WrongLoad && index == 0;
    return slow ? 10 : (wrongLoad ? 2.5 : cold);
}

void upstream_run::startService(std::size_t index)
{
    const std::size_t instanceIndex = m_attempts[index].instance;
    upstream_instance &instance = m_instances[instanceIndex];
    ++instance.busy;
    instance.running.push_back(index);
    const double mean = std::chrono::duration<double, std::micro>(meanServiceTime).count();
    std::lognormal_distribution<double> time(std::log(mean) - serviceTimeSigma * serviceTimeSigma / 2,
                                             serviceTimeSigma);
    const auto takes = duration(static_cast<std::int64_t>(time(m_random) * slowdownOf(instanceIndex)));
    m_events.after(takes, [this, index] { finishService(index); });
}

void upstream_run::finishService(std::size_t index)
{
    const std::size_t instanceIndex = m_attempts[index].instance;
    upstream_instance &instance = m_instances[instanceIndex];
    if (!instance.alive) {
        return;
    }
    if (m_requests[m_attempts[index].request].poison) {
        crashInstance(instanceIndex);
        return;
    }
    --instance.busy;
    std::erase(instance.running, index);
    const outcome_kind kind = answerKind(instanceIndex);
    m_events.after(roundTripTo(m_attempts[index].vm, instanceIndex) / 2,
                   [this, index, kind] { endAttempt(index, kind, false); });
    if (!instance.waiting.empty()) {
        const std::size_t next = instance.waiting.front();
        instance.waiting.pop_front();
        startService(next);
    }
}

outcome_kind upstream_run::answerKind(std::size_t instance)
{
    const double draw = std::uniform_real_distribution()(m_random);
    if (faultActive() && instance == 0) {
        const auto phase = (m_events.now() - faultBegin) % duration(8s);
        if (m_options.fault == fault_kind::Flapping && phase < 3s) {
            return outcome_kind::ErrorAnswer;
        }
        if (m_options.fault == fault_kind::IncompleteAnswers && draw < 0.5) {
            return outcome_kind::IncompleteAnswer;
        }
    }
    if (m_options.fault == fault_kind::AllErrors && faultActive() && m_events.now() < faultBegin + 10s && draw < 0.3) {
        return outcome_kind::ErrorAnswer;
    }
    constexpr double backgroundErrors = 0.002;
    return draw < backgroundErrors ? outcome_kind::ErrorAnswer : outcome_kind::Answered;
}

void upstream_run::crashInstance(std::size_t instanceIndex)
{
    upstream_instance &instance = m_instances[instanceIndex];
    instance.alive = false;
    ++m_result.deaths;
    std::vector<std::size_t> lost = instance.running;
    lost.insert(lost.end(), instance.waiting.begin(), instance.waiting.end());
    instance.running.clear();
    instance.waiting.clear();
    for (const std::size_t index : lost) {
        const duration back = roundTripTo(m_attempts[index].vm, instanceIndex) / 2;
        m_events.after(back, [this, index] { endAttempt(index, outcome_kind::ConnectionLost, false); });
    }
    for (entry_vm &vm : m_vms) {
        vm.idleConnections[instanceIndex].clear();
    }
    m_events.after(announcementLease, [this, instanceIndex] { forgetInstance(instanceIndex); });
    const std::size_t dataCentre = instance.dataCentre;
    m_events.after(restartTime, [this, dataCentre] { addInstance(dataCentre, m_events.now()); });
}

void upstream_run::forgetInstance(std::size_t instanceIndex)
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        forget(m_vms[vm].known, {1'000}, m_instances[instanceIndex].self.instance);
        followRegistry(m_vms[vm].selection, m_vms[vm].known);
        confirmDeath(vm, instanceIndex);
    }
}

void upstream_run::beginFault()
{
    if (m_options.fault == fault_kind::SilentConnections) {
        for (entry_vm &vm : m_vms) {
            vm.idleConnections[0].assign(vm.idleConnections[0].size(), true);
            vm.idleConnections[1].assign(vm.idleConnections[1].size(), true);
        }
    }
    if (m_options.fault == fault_kind::ColdStart) {
        for (std::size_t instanceIndex = 0; instanceIndex < m_instances.size() / 3; ++instanceIndex) {
            m_instances[instanceIndex].startedAt = m_events.now();
            beginColdStart(instanceIndex);
        }
    }
}

void upstream_run::beginColdStart(std::size_t instanceIndex)
{
    for (entry_vm &vm : m_vms) {
        for (instance_health &health : vm.selection.services[0].health.instances) {
            if (health.instance == m_instances[instanceIndex].self.instance) {
                health.servingSince = m_events.now();
            }
        }
    }
}

bool upstream_run::isFaulty(std::size_t vm, std::uint64_t id) const
{
    if (!faultActive()) {
        return false;
    }
    switch (m_options.fault) {
    case fault_kind::Slow:
    case fault_kind::IncompleteAnswers:
    case fault_kind::Flapping:
    case fault_kind::WrongLoad:
        return id == 1;
    case fault_kind::TwoSlow:
        return id <= 2;
    case fault_kind::UnreachableFromDataCentre:
    case fault_kind::OneBadLink:
        return id == 1 && isBlocked(vm, 0);
    case fault_kind::CrashRequest:
        return !m_instances[id - 1].alive;
    case fault_kind::None:
    case fault_kind::SilentConnections:
    case fault_kind::ColdStart:
    case fault_kind::AllErrors:
        break;
    }
    return false;
}

} // namespace guavafront::bench
