#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// How a finding bears on a configuration.
enum class finding_kind : std::uint8_t {
    Error, ///< The control VMs would refuse the configuration, or ignore it.
    Unreachable, ///< An entry that no request can ever match, or that nothing refers to.
    Contradiction, ///< Limits of which one keeps another from ever applying.
};

/// Stable name of a kind in the output of the check.
std::string_view findingKindName(finding_kind kind);

/// What a check found in a configuration.
struct configuration_finding {
    finding_kind kind = finding_kind::Error; ///< How it bears on the configuration.
    std::string subject; ///< The entry, as "route HOST/PATH", "account NAME", "service NAME" or "limits".
    std::string text; ///< What is wrong with it, for an operator to read.
    bool operator==(const configuration_finding &) const = default; ///< Memberwise equality.
};

/// Checks a configuration before it is sent: first whether it is valid, then for entries that can never match and
/// limits that contradict each other. An invalid one has its first fault as the only finding.
std::vector<configuration_finding> checkConfiguration(const configuration &candidate);

/// Whether the candidate would take the place of the configuration in force: the highest version wins, and a version
/// keeps its content. Nothing when it would, or is the one in force.
std::optional<configuration_finding> checkVersion(const configuration &inForce, const configuration &candidate);

/// What a configuration that is to replace the one in force changes, one line each: accounts, the number of keys
/// granted and withdrawn, routes, limits and defaults. Ids don't count, as replaced entries keep theirs.
std::vector<std::string> describeChanges(const configuration &inForce, const configuration &candidate);

} // namespace guavafront
