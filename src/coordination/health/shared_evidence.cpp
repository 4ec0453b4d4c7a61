#include <guavafront/coordination/health/shared_evidence.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <map>

namespace guavafront
{

namespace
{

constexpr std::uint32_t reportersPerInstance = 16; ///< Expected number in one data centre.
constexpr std::uint32_t reportersPerVote = 5; ///< One in so many reporters must agree.

constexpr auto levelsPerVote = static_cast<std::uint32_t>(suspicion_level::Suspect);

/// Suspicions of one instance in one data centre.
struct suspicion_sum {
    std::uint32_t reporters = 0; ///< VMs.
    std::uint32_t levels = 0; ///< Sum of their levels.
    std::uint32_t consents = 0; ///< VMs that consent to an ejection.
};

/// Sums by data centre of the reporting VMs.
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
        const auto suspicion = std::ranges::find(report.suspects, instance, &suspicion::instance);
        if (suspicion != report.suspects.end()) {
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
    std::ranges::for_each(report.suspects, [&apply](const suspicion &each) { apply(each.instance); });
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
    forEachInstance(known->second, [&](instance_id instance) { dropReporter(evidence, instance, reporter); });
    evidence.reports.erase(known);
}

fleet_opinion opinionOf(const shared_evidence &evidence, instance_id instance, std::string_view dataCentre,
                        const corroboration_rule &rule)
{
    const std::uint32_t levelsNeeded = rule.reporters * levelsPerVote + 2 * rule.usualLevels;
    fleet_opinion opinion;
    for (const auto &[where, sum] : sumSuspicions(evidence, instance)) {
        const bool enough = sum.reporters >= rule.reporters && sum.levels >= levelsNeeded;
        opinion.corroborated = opinion.corroborated || enough;
        opinion.corroboratedHere = opinion.corroboratedHere || (enough && where == dataCentre);
        opinion.consents += sum.consents;
    }
    return opinion;
}

std::uint32_t levelsAgainst(const shared_evidence &evidence, instance_id instance)
{
    std::uint32_t most = 0;
    for (const auto &[where, sum] : sumSuspicions(evidence, instance)) {
        most = std::max(most, sum.levels);
    }
    return most;
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
