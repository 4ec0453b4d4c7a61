#include "model/upstream_run.h"

#include <algorithm>
#include <cmath>

namespace guavafront::bench
{

using namespace std::chrono_literals;

upstream_run::upstream_run(const model_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::uint32_t index = 0; index < options.instances; ++index) {
        addInstance(index % 3, instant(-1h));
    }
    for (std::uint32_t index = 0; index < options.vmsPerDataCentre * 3; ++index) {
        addVm(index);
    }
}

model_result upstream_run::run()
{
    scheduleArrival();
    scheduleSupervision();
    m_events.at(faultBegin, [this] { beginFault(); });
    if (m_options.fault == fault_kind::CrashRequest) {
        schedulePoison();
    }
    m_events.runUntil(runEnd);
    finish();
    return m_result;
}

void upstream_run::scheduleArrival()
{
    const double perSecond = m_options.utilization * m_options.instances * m_options.slots
                             / std::chrono::duration<double>(meanServiceTime).count();
    std::exponential_distribution<double> gap(perSecond);
    m_events.after(duration(static_cast<std::int64_t>(gap(m_random) * 1e6)), [this] {
        scheduleArrival();
        const bool repeatable = std::uniform_real_distribution()(m_random) < m_options.repeatableShare;
        arrive({.repeatable = repeatable, .arrived = m_events.now()});
    });
}

void upstream_run::scheduleSupervision()
{
    m_events.after(superviseInterval, [this] {
        scheduleSupervision();
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            superviseVm(vm);
        }
        m_result.lowestCapacity = std::min(m_result.lowestCapacity, meanCapacity());
        m_result.lowestInRotationEverywhere =
            std::min(m_result.lowestInRotationEverywhere, capacityEverywhere(&entry_vm::outOfRotation));
        m_result.lowestUnavoidedEverywhere =
            std::min(m_result.lowestUnavoidedEverywhere, capacityEverywhere(&entry_vm::avoided));
        recordDetection();
    });
}

void upstream_run::superviseVm(std::size_t index)
{
    entry_vm &vm = m_vms[index];
    if (m_options.detection == detection_kind::Evidence) {
        if (const auto report = updateRotation(vm.selection, vm.known, m_events.now())) {
            m_events.after(reportDelay, [this, report, id = vm.selection.self] {
                for (entry_vm &to : m_vms) {
                    if (to.selection.self != id) {
                        putReport(to.selection.evidence, id, *report);
                    }
                }
            });
        }
    } else {
        applyTo(vm.errors, vm.selection.services[0].candidates, m_events.now());
    }
    recordEjections(index);
}

std::set<std::uint64_t> upstream_run::outOfRotationAt(const entry_vm &vm)
{
    std::set<std::uint64_t> out;
    for (const candidate &member : vm.selection.services[0].candidates.members) {
        if (member.rotation == rotation_state::LastResort) {
            out.insert(member.instance.value);
        }
    }
    return out;
}

std::set<std::uint64_t> upstream_run::avoidedBy(const entry_vm &vm)
{
    std::set<std::uint64_t> avoided = outOfRotationAt(vm);
    for (const instance_id instance : vm.selection.services[0].reducedWeight) {
        avoided.insert(instance.value);
    }
    return avoided;
}

void upstream_run::recordEjections(std::size_t index)
{
    entry_vm &vm = m_vms[index];
    const std::set<std::uint64_t> avoided = avoidedBy(vm);
    for (const std::uint64_t id : avoided) {
        if (!vm.avoided.contains(id) && !isFaulty(index, id)) {
            ++m_result.falseEjections;
        }
    }
    vm.outOfRotation = outOfRotationAt(vm);
    vm.avoided = avoided;
}

void upstream_run::recordDetection()
{
    if (m_result.detectionSeconds >= 0 || !faultActive()) {
        return;
    }
    std::size_t concerned = 0;
    std::size_t acted = 0;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        if (isFaulty(vm, 1)) {
            ++concerned;
            acted += m_vms[vm].avoided.contains(1) ? 1U : 0U;
        }
    }
    if (concerned > 0 && 2 * acted >= concerned) {
        m_result.detectionSeconds = std::chrono::duration<double>(m_events.now() - faultBegin).count();
    }
}

double upstream_run::meanCapacity() const
{
    double sum = 0;
    for (const entry_vm &vm : m_vms) {
        const auto members = static_cast<double>(vm.selection.services[0].candidates.members.size());
        sum += members > 0 ? 1 - static_cast<double>(vm.avoided.size()) / members : 1;
    }
    return sum / static_cast<double>(m_vms.size());
}

double upstream_run::capacityEverywhere(std::set<std::uint64_t> entry_vm::*taken) const
{
    std::set<std::uint64_t> out;
    for (const entry_vm &vm : m_vms) {
        out.insert((vm.*taken).begin(), (vm.*taken).end());
    }
    const std::size_t members = m_vms[0].selection.services[0].candidates.members.size();
    return 1 - static_cast<double>(out.size()) / static_cast<double>(members);
}

void upstream_run::finish()
{
    std::ranges::sort(m_latencies);
    const auto quantile = [this](double share) {
        return m_latencies.empty()
                   ? 0
                   : m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))];
    };
    m_result.p50Ms = quantile(0.5);
    m_result.p99Ms = quantile(0.99);
}

model_result run(const model_options &options)
{
    return upstream_run(options).run();
}

} // namespace guavafront::bench
