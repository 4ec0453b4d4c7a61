#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace guavafront
{

/// What a setting may be excepted for.
enum class subject_type : std::uint8_t {
    None, ///< Fleet-wide only.
    Account, ///< "account:NAME".
    Service, ///< "service:NAME".
};

/// Subject of an exception, split into its parts.
struct exception_subject {
    subject_type type = subject_type::None; ///< None when the text has neither prefix.
    std::string_view name; ///< Name of the account or service; views the text that was parsed.
};

/// One member of fleet_defaults as operators name it.
struct setting_descriptor {
    std::string_view name; ///< Name of the member.
    subject_type exceptableFor; ///< Subjects for which an exception may be written.
    double minimum; ///< Lowest allowed value.
    double maximum; ///< Highest allowed value.
    bool integral; ///< Only whole numbers are allowed.
    double (*read)(const fleet_defaults &); ///< Reads the member.
    void (*write)(fleet_defaults &, double); ///< Sets the member to a value that was checked.
};

/// Every member of fleet_defaults, in declaration order.
std::span<const setting_descriptor> settingTable();

/// The descriptor of a setting; null when the name is unknown.
const setting_descriptor *findSetting(std::string_view name);

/// Whether the value is finite, within the range and whole where it must be.
bool isAllowed(const setting_descriptor &setting, double value);

/// Splits "account:NAME" or "service:NAME".
exception_subject parseSubject(std::string_view subject);

/// Values in force for an account: the defaults with its exceptions.
fleet_defaults valuesForAccount(const configuration &current, std::string_view accountName);

/// Values in force for a service: the defaults with its exceptions.
fleet_defaults valuesForService(const configuration &current, std::string_view service);

} // namespace guavafront
