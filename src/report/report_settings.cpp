#include "report/report_settings.h"

#include "settings/settings_fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <span>

namespace guavafront
{

namespace
{

using nlohmann::json;

constexpr number_range percentRange{1, 99.9999};
constexpr number_range latencyRange{1, 10'000};
constexpr number_range daysRange{1, 366};
constexpr number_range minutesRange{1, 527'040};
constexpr number_range burnRange{0.01, 1'000'000};

/// A numeric setting of a JSON object.
struct number_field {
    std::string_view name; ///< Name of the setting in the object.
    number_range range; ///< Allowed values.
    double *value; ///< Where the value is stored if it is present and in range; not owned.
};

/// Reads values of a settings document and collects its faults.
class report_settings_reader
{
public:
    explicit report_settings_reader(std::vector<setting_fault> &faults)
        : m_faults(faults)
    {
    }

    void fault(const std::string &path, std::string text, result_code code = result_code::SettingInvalid)
    {
        m_faults.push_back({code, path, std::move(text)});
    }

    bool isObject(const json &found, const std::string &path)
    {
        if (!found.is_object()) {
            fault(path, "must be an object");
        }
        return found.is_object();
    }

    /// Reads the numeric fields of an object. A name that is neither one of fields nor of otherNames is a fault.
    void readNumbers(const json &object, const std::string &path, std::span<const number_field> fields,
                     std::span<const std::string_view> otherNames)
    {
        for (const auto &[name, value] : object.items()) {
            const std::string at = path.empty() ? name : path + "." + name;
            const auto field = std::ranges::find(fields, name, &number_field::name);
            if (field != fields.end()) {
                readNumber(value, at, *field);
            } else if (std::ranges::find(otherNames, name) == otherNames.end()) {
                fault(at, "is not the name of a setting", result_code::SettingUnknown);
            }
        }
    }

private:
    void readNumber(const json &found, const std::string &path, const number_field &field)
    {
        const bool inRange = found.is_number() && found.get<double>() >= field.range.lowest
                             && found.get<double>() <= field.range.highest;
        if (inRange) {
            *field.value = found.get<double>();
        } else {
            fault(path, "must be a number from " + json(field.range.lowest).dump() + " to "
                            + json(field.range.highest).dump());
        }
    }

    std::vector<setting_fault> &m_faults; ///< Not owned.
};

void readObjective(report_settings_reader &reader, const json &found, const std::string &path, bool withLatency,
                   objective &value)
{
    if (!reader.isObject(found, path)) {
        return;
    }
    const std::array fields{
        number_field{.name = "availabilityPercent", .range = percentRange, .value = &value.availabilityPercent},
        number_field{.name = "latencyMs", .range = latencyRange, .value = &value.latencyMs},
        number_field{.name = "latencyPercent", .range = percentRange, .value = &value.latencyPercent}};
    reader.readNumbers(found, path, std::span(fields).first(withLatency ? fields.size() : 1), {});
}

void readOverrides(report_settings_reader &reader, const json &document, const std::string &group, bool withLatency,
                   const objective &defaultObjective, std::map<std::string, objective, std::less<>> &values)
{
    const auto found = document.find(group);
    if (found == document.end() || !reader.isObject(*found, group)) {
        return;
    }
    for (const auto &[name, value] : found->items()) {
        readObjective(reader, value, group + "." + name, withLatency,
                      values.emplace(name, defaultObjective).first->second);
    }
}

burn_rule readRule(report_settings_reader &reader, const json &found, const std::string &path)
{
    constexpr std::array<std::string_view, 1> otherNames{"name"};
    double longMinutes = 0;
    double shortMinutes = 0;
    burn_rule rule;
    if (!reader.isObject(found, path)) {
        return rule;
    }
    const std::array fields{number_field{.name = "longMinutes", .range = minutesRange, .value = &longMinutes},
                            number_field{.name = "shortMinutes", .range = minutesRange, .value = &shortMinutes},
                            number_field{.name = "burnRate", .range = burnRange, .value = &rule.threshold}};
    reader.readNumbers(found, path, fields, otherNames);
    for (const number_field &field : fields) {
        if (!found.contains(field.name)) {
            reader.fault(path + "." + std::string(field.name), "is required");
        }
    }
    const auto name = found.find("name");
    if (name == found.end() || !name->is_string() || name->get_ref<const std::string &>().empty()) {
        reader.fault(path + ".name", "must be text that isn't empty");
    } else {
        rule.name = name->get<std::string>();
    }
    if (shortMinutes > longMinutes) {
        reader.fault(path + ".shortMinutes", "must be at most longMinutes");
    }
    rule.longWindow = std::chrono::minutes(static_cast<std::int64_t>(longMinutes));
    rule.shortWindow = std::chrono::minutes(static_cast<std::int64_t>(shortMinutes));
    return rule;
}

void readRules(report_settings_reader &reader, const json &document, std::vector<burn_rule> &rules)
{
    const auto found = document.find("alerts");
    if (found == document.end()) {
        return;
    }
    if (!found->is_array()) {
        reader.fault("alerts", "must be a list");
        return;
    }
    rules.clear();
    for (std::size_t index = 0; index < found->size(); ++index) {
        rules.push_back(readRule(reader, (*found)[index], "alerts[" + std::to_string(index) + "]"));
    }
}

} // namespace

report_settings_result readReportSettings(std::string_view text)
{
    constexpr std::array<std::string_view, 4> groups{"default", "services", "accounts", "alerts"};
    report_settings_result result;
    report_settings_reader reader(result.faults);
    const json document = json::parse(text, nullptr, false, true);
    if (document.is_discarded() || !reader.isObject(document, "")) {
        result.faults.assign(1, {result_code::SettingInvalid, "", "the file must hold one JSON object"});
        return result;
    }
    auto days = static_cast<double>(result.values.policy.period / std::chrono::hours(24));
    const std::array fields{number_field{.name = "budgetDays", .range = daysRange, .value = &days}};
    reader.readNumbers(document, "", fields, groups);
    result.values.policy.period = std::chrono::hours(24) * static_cast<std::int64_t>(days);
    if (const auto foundDefault = document.find("default"); foundDefault != document.end()) {
        readObjective(reader, *foundDefault, "default", true, result.values.defaultObjective);
    }
    readOverrides(reader, document, "services", true, result.values.defaultObjective, result.values.services);
    readOverrides(reader, document, "accounts", false, result.values.defaultObjective, result.values.accounts);
    readRules(reader, document, result.values.policy.rules);
    return result;
}

const objective &objectiveOf(const report_settings &settings, const burn_subject &subject)
{
    const auto &overrides = subject.kind == burn_subject_kind::Service ? settings.services : settings.accounts;
    const auto found = overrides.find(subject.name);
    return found == overrides.end() ? settings.defaultObjective : found->second;
}

double objectivePercentOf(const report_settings &settings, const burn_subject &subject)
{
    const objective &found = objectiveOf(settings, subject);
    return subject.objective == burn_objective::Latency ? found.latencyPercent : found.availabilityPercent;
}

} // namespace guavafront
