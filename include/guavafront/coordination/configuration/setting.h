#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace guavafront
{

/// Kind of subject that a setting can have an exception for.
enum class subject_type : std::uint8_t {
    None, ///< No subject: the setting only has its fleet-wide value.
    Account, ///< A client account, written as "account:NAME".
    Service, ///< A service, written as "service:NAME".
};

/// Subject of an exception, split into its parts.
struct exception_subject {
    subject_type type = subject_type::None; ///< None when the text has neither prefix.
    std::string_view name; ///< Name of the account or service; views the text that was parsed.
};

/// Describes one member of fleet_defaults.
struct setting_descriptor {
    std::string_view name; ///< Name of the member, as operators write it.
    subject_type exceptableFor; ///< Subjects for which an exception may be written.
    double minimum; ///< Lowest allowed value.
    double maximum; ///< Highest allowed value.
    bool integral; ///< Only whole numbers are allowed.
    double (*read)(const fleet_defaults &); ///< Reads the member.
    void (*write)(fleet_defaults &, double); ///< Sets the member; isAllowed() must hold for the value.
};

/// Descriptors of all members of fleet_defaults, in declaration order.
std::span<const setting_descriptor> settingTable();

/// The descriptor of a setting; null when the name is unknown.
const setting_descriptor *findSetting(std::string_view name);

/// Whether the value is finite, within the range and, for an integral setting, whole.
bool isAllowed(const setting_descriptor &setting, double value);

/// Splits "account:NAME" or "service:NAME" into type and name.
exception_subject parseSubject(std::string_view subject);

/// Settings in force for an account: the defaults with the account's exceptions applied.
fleet_defaults valuesForAccount(const configuration &current, std::string_view accountName);

/// Settings in force for a service: the defaults with the service's exceptions applied.
fleet_defaults valuesForService(const configuration &current, std::string_view service);

} // namespace guavafront
