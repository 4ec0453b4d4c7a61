#include <guavafront/coordination/health/shared_evidence.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>

namespace guavafront
{

namespace
{

constexpr std::uint32_t reportersPerInstance = 16; ///< Expected number of reporters in one data centre.
constexpr std::uint32_t reportersPerRequiredOne = 5; ///< One in this many reporters must suspect the instance.

constexpr auto levelsPerReporter = static_cast<std::uint32_t>(suspicion_level::Suspect);

/// Suspicions of one instance, added up over one data centre.
struct suspicion_sum {
    std::uint32_t reporters = 0; ///< VMs that suspect the instance.
    std::uint32_t levels = 0; ///< Sum of their levels.
    std::uint32_t consents = 0; ///< VMs that consent to its ejection.
};

/// Suspicions of an instance, added up by the data centre of the reporting VMs.
std::map<std::string_view, suspicion_sum> sumSuspicions(const shared_evidence &evidence, instance_id instance)
{
    std::map<std::string_view, suspicion_sum> sums;
    const auto known = evidence.reporters.find(instance);
    if (known == evidence.reporters.end()) {
        return sums;
    }
    for (const vm_id reporter : known->second) {
        const health_report &report = evidence.reports.at(reporter);
        suspicion_sum &sum = sums[report.dataCentre];
        sum.consents += std::ranges::find(report.consents, instance) != report.consents.end() ? 1 : 0;
        const auto suspicion = std::ranges::find(report.suspicions, instance, &suspicion::instance);
        if (suspicion != report.suspicions.end()) {
            ++sum.reporters;
            sum.levels += static_cast<std::uint32_t>(suspicion->level);
        }
    }
    return sums;
}

void addReporter(shared_evidence &evidence, instance_id instance, vm_id reporter)
{
    std::vector<vm_id> &reporters = evidence.reporters[instance];
    if (std::ranges::find(reporters, reporter) == reporters.end()) {
        reporters.push_back(reporter);
    }
}

void removeReporter(shared_evidence &evidence, instance_id instance, vm_id reporter)
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
    std::ranges::for_each(report.suspicions, [&apply](const suspicion &each) { apply(each.instance); });
    std::ranges::for_each(report.consents, apply);
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
    forEachInstance(known->second, [&](instance_id instance) { removeReporter(evidence, instance, reporter); });
    evidence.reports.erase(known);
}

evidence_summary summarizeEvidence(const shared_evidence &evidence, instance_id instance, std::string_view dataCentre,
                                   const corroboration_rule &rule)
{
    const std::uint32_t levelsNeeded = rule.minReporters * levelsPerReporter + 2 * rule.usualLevels;
    evidence_summary summary;
    for (const auto &[reportersDataCentre, sum] : sumSuspicions(evidence, instance)) {
        const bool enough = sum.reporters >= rule.minReporters && sum.levels >= levelsNeeded;
        summary.corroboratedAnywhere = summary.corroboratedAnywhere || enough;
        summary.corroboratedInDataCentre =
            summary.corroboratedInDataCentre || (enough && reportersDataCentre == dataCentre);
        summary.consents += sum.consents;
    }
    return summary;
}

std::uint32_t highestLevelSum(const shared_evidence &evidence, instance_id instance)
{
    std::uint32_t highest = 0;
    for (const auto &[reportersDataCentre, sum] : sumSuspicions(evidence, instance)) {
        highest = std::max(highest, sum.levels);
    }
    return highest;
}

std::uint32_t reportersNeeded(std::uint32_t vmsInDataCentre)
{
    if (vmsInDataCentre <= 1) {
        return 1;
    }
    const std::uint32_t reporters = std::min(vmsInDataCentre, reportersPerInstance);
    return std::max<std::uint32_t>(2, (reporters + reportersPerRequiredOne - 1) / reportersPerRequiredOne);
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
