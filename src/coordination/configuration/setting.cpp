#include <guavafront/coordination/configuration/setting.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <type_traits>

namespace guavafront
{

namespace
{

constexpr std::string_view accountPrefix = "account:";
constexpr std::string_view servicePrefix = "service:";
constexpr double maxClaimRetentionMs = 7.0 * 24 * 3'600'000; // Seven days.

template<auto member>
double readMember(const fleet_defaults &values)
{
    return static_cast<double>(values.*member);
}

template<auto member>
void writeMember(fleet_defaults &values, double value)
{
    using number = std::remove_reference_t<decltype(values.*member)>;
    values.*member = static_cast<number>(value);
}

template<auto member>
constexpr setting_descriptor describeMember(std::string_view name, subject_type exceptableFor, double minimum,
                                            double maximum)
{
    using number = std::remove_cvref_t<decltype(fleet_defaults{}.*member)>;
    return {name, exceptableFor, minimum, maximum, std::is_integral_v<number>, readMember<member>, writeMember<member>};
}

constexpr std::array settings{
    describeMember<&fleet_defaults::accountRatePerSecond>("accountRatePerSecond", subject_type::Account, 0.01, 1e6),
    describeMember<&fleet_defaults::accountBurst>("accountBurst", subject_type::Account, 1, 1e7),
    describeMember<&fleet_defaults::requestTimeoutMs>("requestTimeoutMs", subject_type::Service, 1, 600'000),
    describeMember<&fleet_defaults::healthyFloorPercent>("healthyFloorPercent", subject_type::Service, 0, 100),
    describeMember<&fleet_defaults::retryBudgetPercent>("retryBudgetPercent", subject_type::Service, 0, 100),
    describeMember<&fleet_defaults::announcementLeaseMs>("announcementLeaseMs", subject_type::Service, 500, 60'000),
    describeMember<&fleet_defaults::stalenessLimitMs>("stalenessLimitMs", subject_type::None, 1'000, 60'000),
    describeMember<&fleet_defaults::claimRetentionMs>("claimRetentionMs", subject_type::Service, 60'000,
                                                      maxClaimRetentionMs),
    describeMember<&fleet_defaults::quarantineDeaths>("quarantineDeaths", subject_type::Service, 1, 100),
};

/// The defaults with the exceptions of one subject applied.
fleet_defaults valuesFor(const configuration &current, subject_type type, std::string_view name)
{
    fleet_defaults values = current.defaults;
    for (const setting_exception &exception : current.exceptions) {
        const exception_subject subject = parseSubject(exception.subject);
        if (subject.type != type || subject.name != name) {
            continue;
        }
        if (const setting_descriptor *setting = findSetting(exception.setting)) {
            setting->write(values, exception.value);
        }
    }
    return values;
}

} // namespace

std::span<const setting_descriptor> settingTable()
{
    return settings;
}

const setting_descriptor *findSetting(std::string_view name)
{
    const auto found = std::ranges::find(settings, name, &setting_descriptor::name);
    return found == settings.end() ? nullptr : &*found;
}

bool isAllowed(const setting_descriptor &setting, double value)
{
    if (!std::isfinite(value) || value < setting.minimum || value > setting.maximum) {
        return false;
    }
    return !setting.integral || std::trunc(value) == value;
}

exception_subject parseSubject(std::string_view subject)
{
    if (subject.starts_with(accountPrefix)) {
        return {subject_type::Account, subject.substr(accountPrefix.size())};
    }
    if (subject.starts_with(servicePrefix)) {
        return {subject_type::Service, subject.substr(servicePrefix.size())};
    }
    return {};
}

fleet_defaults valuesForAccount(const configuration &current, std::string_view accountName)
{
    return valuesFor(current, subject_type::Account, accountName);
}

fleet_defaults valuesForService(const configuration &current, std::string_view service)
{
    return valuesFor(current, subject_type::Service, service);
}

} // namespace guavafront
