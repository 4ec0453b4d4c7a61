#include <guavafront/coordination/health/shared_evidence.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>
#include <span>

namespace guavafront
{

namespace
{

constexpr std::uint32_t reportersPerInstance = 16; ///< Expected number in one data centre.
constexpr std::uint32_t reportersPerVote = 5; ///< One in so many reporters must agree.

bool contains(std::span<const instance_id> ordered, instance_id instance)
{
    return std::ranges::binary_search(ordered, instance.value, {}, &instance_id::value);
}

void addReporter(shared_evidence &evidence, instance_id instance, vm_id reporter)
{
    std::vector<vm_id> &reporters = evidence.reporters[instance];
    if (std::ranges::find(reporters, reporter) == reporters.end()) {
        reporters.push_back(reporter);
    }
}

void dropReporter(shared_evidence &evidence, instance_id instance, vm_id reporter)
{
    const auto known = evidence.reporters.find(instance);
    if (known == evidence.reporters.end()) {
        return;
    }
    std::erase(known->second, reporter);
    if (known->second.empty()) {
        evidence.reporters.erase(known);
    }
}

template<class action>
void forEachInstance(const health_report &report, action apply)
{
    std::ranges::for_each(report.suspects, apply);
    std::ranges::for_each(report.ejected, apply);
}

} // namespace

void putReport(shared_evidence &evidence, vm_id reporter, const health_report &report)
{
    removeReport(evidence, reporter);
    forEachInstance(report, [&](instance_id instance) { addReporter(evidence, instance, reporter); });
    evidence.reports[reporter] = report;
}

void removeReport(shared_evidence &evidence, vm_id reporter)
{
    const auto known = evidence.reports.find(reporter);
    if (known == evidence.reports.end()) {
        return;
    }
    forEachInstance(known->second, [&](instance_id instance) { dropReporter(evidence, instance, reporter); });
    evidence.reports.erase(known);
}

suspicion_count countSuspicions(const shared_evidence &evidence, instance_id instance, std::string_view dataCentre)
{
    const auto known = evidence.reporters.find(instance);
    if (known == evidence.reporters.end()) {
        return {};
    }
    std::map<std::string_view, std::uint32_t> perDataCentre;
    suspicion_count count;
    for (const vm_id reporter : known->second) {
        const health_report &report = evidence.reports.at(reporter);
        count.ejected = count.ejected || contains(report.ejected, instance);
        if (contains(report.suspects, instance)) {
            const std::uint32_t number = ++perDataCentre[report.dataCentre];
            count.mostInOneDataCentre = std::max(count.mostInOneDataCentre, number);
        }
    }
    const auto here = perDataCentre.find(dataCentre);
    count.here = here == perDataCentre.end() ? 0 : here->second;
    return count;
}

std::uint32_t reportersNeeded(std::uint32_t vmsInDataCentre)
{
    if (vmsInDataCentre <= 1) {
        return 1;
    }
    const std::uint32_t reporters = std::min(vmsInDataCentre, reportersPerInstance);
    return std::max<std::uint32_t>(2, (reporters + reportersPerVote - 1) / reportersPerVote);
}

bool isReporter(vm_id self, instance_id instance, std::uint32_t vmsInDataCentre)
{
    if (vmsInDataCentre <= reportersPerInstance) {
        return true;
    }
    const std::uint64_t hash = XXH3_64bits_withSeed(&instance.value, sizeof instance.value, self.value);
    return hash < std::numeric_limits<std::uint64_t>::max() / vmsInDataCentre * reportersPerInstance;
}

} // namespace guavafront
