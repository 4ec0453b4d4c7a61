#include "settings/settings_reader.h"

#include "settings/settings_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>
#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>

namespace guavafront
{

namespace
{

using nlohmann::json;

/// Longest name of a VM. It is limited because reports to operators contain the name.
constexpr std::size_t maxNameBytes = 256;

std::string_view roleName(vm_role role)
{
    return role == vm_role::Entry ? "entry" : "control";
}

std::optional<vm_role> parseRole(std::string_view text)
{
    for (const vm_role role : {vm_role::Entry, vm_role::Control}) {
        if (text == roleName(role)) {
            return role;
        }
    }
    return std::nullopt;
}

/// Visitor that reads each setting from a parsed JSON document and collects the faults.
class reading_visitor
{
public:
    reading_visitor(const json &document, std::vector<setting_fault> &faults)
        : m_document(document)
        , m_faults(faults)
    {
    }

    template<class member>
    void field(std::string_view path, member &value, presence requirement)
    {
        const json *found = find(path);
        if (found) {
            read(path, *found, value);
        } else if (requirement == presence::Required) {
            addFault(path, "is required");
        }
    }

    template<class number>
    void field(std::string_view path, number &value, number_range range)
    {
        const json *found = find(path);
        if (!found) {
            return;
        }
        const bool wrongType = std::is_integral_v<number> ? !found->is_number_integer() : !found->is_number();
        if (wrongType || found->get<double>() < range.lowest || found->get<double>() > range.highest) {
            addFault(path,
                     "must be a number from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
            return;
        }
        value = found->get<number>();
    }

    /// Adds a fault for each name in the document that is not the path of a visited setting.
    void reportUnknown()
    {
        reportUnknown(m_document, "");
    }

private:
    /// Finds the value of a setting, nullptr when it is absent, and records its path as known.
    const json *find(std::string_view path)
    {
        m_knownPaths.insert(std::string(path));
        const std::size_t dot = path.find('.');
        const auto group = m_document.find(path.substr(0, dot));
        if (group == m_document.end() || !group->is_object()) {
            return nullptr;
        }
        const auto value = group->find(path.substr(dot + 1));
        return value == group->end() ? nullptr : &*value;
    }

    void addFault(std::string_view path, std::string text)
    {
        m_faults.push_back({result_code::SettingInvalid, std::string(path), std::move(text)});
    }

    void read(std::string_view path, const json &found, std::string &value)
    {
        if (!found.is_string() || found.get_ref<const std::string &>().empty()) {
            addFault(path, "must be text that isn't empty");
            return;
        }
        value = found.get<std::string>();
    }

    void read(std::string_view path, const json &found, bool &value)
    {
        if (!found.is_boolean()) {
            addFault(path, "must be true or false");
            return;
        }
        value = found.get<bool>();
    }

    void read(std::string_view path, const json &found, endpoint &value)
    {
        const auto parsed = found.is_string() ? parseEndpoint(found.get_ref<const std::string &>()) : std::nullopt;
        if (!parsed) {
            addFault(path, "must be an IP number and a port, as \"127.0.0.1:8080\"");
            return;
        }
        value = *parsed;
    }

    void read(std::string_view path, const json &found, vm_role &value)
    {
        const auto parsed = found.is_string() ? parseRole(found.get_ref<const std::string &>()) : std::nullopt;
        if (!parsed) {
            addFault(path, "must be \"entry\" or \"control\"");
            return;
        }
        value = *parsed;
    }

    template<class element>
    void read(std::string_view path, const json &found, std::vector<element> &value)
    {
        if (!found.is_array()) {
            addFault(path, "must be a list");
            return;
        }
        value.clear();
        for (std::size_t index = 0; index < found.size(); ++index) {
            read(std::string(path) + "[" + std::to_string(index) + "]", found[index], value.emplace_back());
        }
    }

    void reportUnknown(const json &group, const std::string &prefix)
    {
        for (const auto &[name, value] : group.items()) {
            const std::string path = prefix.empty() ? name : prefix + "." + name;
            if (m_knownPaths.contains(path)) {
                continue;
            }
            const auto inside = m_knownPaths.lower_bound(path + ".");
            const bool isGroup = inside != m_knownPaths.end() && inside->starts_with(path + ".");
            if (!isGroup) {
                m_faults.push_back({result_code::SettingUnknown, path, "is not the name of a setting"});
            } else if (!value.is_object()) {
                addFault(path, "must be an object");
            } else {
                reportUnknown(value, path);
            }
        }
    }

    const json &m_document; ///< Document that is read; not owned.
    std::vector<setting_fault> &m_faults; ///< Receives the faults; not owned.
    std::set<std::string> m_knownPaths; ///< Paths of all settings visited so far.
};

/// Visitor that writes each setting which has a value into a JSON document.
struct printing_visitor {
    nlohmann::ordered_json document; ///< Settings written so far.

    template<class member, class rule>
    void field(std::string_view path, const member &value, rule /*unused*/)
    {
        if (isUnset(value)) {
            return;
        }
        const std::size_t dot = path.find('.');
        document[std::string(path.substr(0, dot))][std::string(path.substr(dot + 1))] = toJson(value);
    }

    template<class number>
    static bool isUnset(const number & /*value*/)
    {
        return false;
    }

    static bool isUnset(const std::string &value)
    {
        return value.empty();
    }

    static bool isUnset(const endpoint &value)
    {
        return value.ip.empty();
    }

    template<class number>
    static nlohmann::ordered_json toJson(const number &value)
    {
        return value;
    }

    static nlohmann::ordered_json toJson(const endpoint &value)
    {
        return toText(value);
    }

    static nlohmann::ordered_json toJson(const vm_role &value)
    {
        return roleName(value);
    }

    template<class element>
    static nlohmann::ordered_json toJson(const std::vector<element> &values)
    {
        auto list = nlohmann::ordered_json::array();
        for (const element &value : values) {
            list.push_back(toJson(value));
        }
        return list;
    }
};

/// Adds a fault for each setting that is missing although a role or another setting of this VM requires it.
void checkRoles(const daemon_settings &values, std::vector<setting_fault> &faults)
{
    const auto require = [&faults](bool given, std::string_view path, std::string_view role) {
        if (!given) {
            faults.push_back({result_code::SettingInvalid, std::string(path),
                              "is required for the role \"" + std::string(role) + "\""});
        }
    };
    if (values.vm.roles.empty()) {
        faults.push_back({result_code::SettingInvalid, "vm.roles", "must name at least one role"});
    }
    if (!values.peers.privateNetwork && values.secrets.fleetSecretFile.empty()) {
        faults.push_back({result_code::SettingInvalid, "secrets.fleetSecretFile",
                          "is required unless peers.privateNetwork says that no one else can reach the links"});
    }
    if (hasRole(values, vm_role::Entry)) {
        require(!values.listen.callers.ip.empty(), "listen.callers", "entry");
        require(!values.listen.announcements.ip.empty(), "listen.announcements", "entry");
        require(!values.secrets.serviceTokenFile.empty(), "secrets.serviceTokenFile", "entry");
    }
    if (hasRole(values, vm_role::Control)) {
        require(!values.vm.dataFolder.empty(), "vm.dataFolder", "control");
        require(!values.listen.operators.ip.empty(), "listen.operators", "control");
        require(!values.secrets.operatorTokensFile.empty(), "secrets.operatorTokensFile", "control");
    }
}

/// Adds a fault for each value that has the right type and range but is not allowed.
void checkValues(const daemon_settings &values, std::vector<setting_fault> &faults)
{
    if (values.control.voters % 2 == 0) {
        faults.push_back({result_code::SettingInvalid, "control.voters", "must be odd"});
    }
    if (values.vm.name.size() > maxNameBytes) {
        faults.push_back(
            {result_code::SettingInvalid, "vm.name", "must have at most " + std::to_string(maxNameBytes) + " bytes"});
    }
}

} // namespace

std::size_t messageMemoryBytes(const daemon_settings &settings)
{
    constexpr std::size_t bytesPerMb = std::size_t{1} << 20;
    constexpr std::size_t shareOfMemory = 16;
    constexpr std::size_t ifUnknown = 64 * bytesPerMb;
    const std::size_t whole = settings.vm.memoryMb > 0 ? settings.vm.memoryMb * bytesPerMb / shareOfMemory : ifUnknown;
    return whole / std::max<std::size_t>(1, settings.vm.roles.size()); // Each role has one task that holds messages.
}

bool hasRole(const daemon_settings &settings, vm_role role)
{
    return std::ranges::find(settings.vm.roles, role) != settings.vm.roles.end();
}

settings_result readSettings(std::string_view text)
{
    settings_result result;
    const json document = json::parse(text, nullptr, false, true);
    if (document.is_discarded() || !document.is_object()) {
        result.faults.push_back({result_code::SettingInvalid, "", "the file must hold one JSON object"});
        return result;
    }
    reading_visitor visitor(document, result.faults);
    visitSettings(visitor, result.values);
    visitor.reportUnknown();
    checkRoles(result.values, result.faults);
    checkValues(result.values, result.faults);
    return result;
}

settings_result readSettingsFile(const std::string &path)
{
    return readSettings(readFile(path));
}

std::string showSettings(const daemon_settings &values)
{
    printing_visitor visitor;
    visitSettings(visitor, values);
    return visitor.document.dump(2);
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw coordination_error(result_code::FileUnreadable, path + ": can't be read");
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string readSecretFile(const std::string &path)
{
    constexpr std::size_t shortestSecretBytes = 16;
    struct stat status {
    };
    if (stat(path.c_str(), &status) == 0 && (status.st_mode & S_IRWXO) != 0) {
        throw coordination_error(result_code::FileExposed, path + ": others may read it; use chmod o=");
    }
    std::string secret = readFile(path);
    while (secret.ends_with('\n') || secret.ends_with('\r')) {
        secret.pop_back();
    }
    if (secret.size() < shortestSecretBytes) {
        throw coordination_error(result_code::SettingInvalid, path + ": a secret has at least 16 bytes");
    }
    return secret;
}

} // namespace guavafront
