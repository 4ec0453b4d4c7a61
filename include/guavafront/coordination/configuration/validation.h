#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstddef>
#include <string_view>

namespace guavafront
{

constexpr std::size_t maxNameBytes = 64; ///< Names of accounts, keys, services and kinds.
constexpr std::size_t maxPathPrefixBytes = 1024; ///< Path prefix of a route.
constexpr std::size_t maxHostBytes = 253; ///< Host of a route.
constexpr std::size_t maxReasonBytes = 1000; ///< Written reason of an exception.
constexpr std::size_t maxKindsPerAccount = 32; ///< Kinds in one account's order.
constexpr std::size_t maxExceptions = 2000; ///< Exceptions of the whole fleet.

/// Whether the text is 1 to maxNameBytes of letters, digits, '.', '_' and '-', so that it can travel in any header.
bool isValidName(std::string_view name);

/// Path prefix without its trailing slashes; the root is "". Two routes with equal results are the same route.
std::string_view normalizedPathPrefix(std::string_view prefix);

/// Checks the whole set, each value and how they refer to each other. Throws coordination_error (ChangeInvalid,
/// SubjectUnknown, SubjectExists, ReasonMissing) that names the first fault.
void validate(const configuration &candidate);

} // namespace guavafront
