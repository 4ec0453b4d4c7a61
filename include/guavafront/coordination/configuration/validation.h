#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <cstddef>
#include <string_view>

namespace guavafront
{

constexpr std::size_t maxNameBytes = 64; ///< Maximum length of names of accounts, keys, services and kinds.
constexpr std::size_t maxPathPrefixBytes = 1024; ///< Maximum length of a route's path prefix.
constexpr std::size_t maxHostBytes = 253; ///< Maximum length of a route's host; the limit of a DNS name.
constexpr std::size_t maxReasonBytes = 1000; ///< Maximum length of an exception's written reason.
constexpr std::size_t maxKindsPerAccount = 32; ///< Maximum number of kinds in an account's order.
constexpr std::size_t maxExceptions = 70'000; ///< Maximum number of exceptions: rate and burst of 35,000 accounts.

/// Whether the text consists of 1 to maxNameBytes letters, digits, '.', '_' and '-', so that it can be sent in any
/// header field.
bool isValidName(std::string_view name);

/// The path prefix without trailing slashes; "" for the root. Two routes of one host with equal results are the same
/// route.
std::string_view normalizedPathPrefix(std::string_view prefix);

/// Checks every value of the configuration and the references between them. Throws coordination_error (ChangeInvalid,
/// SubjectUnknown, SubjectExists, ReasonMissing) that names the first fault.
void validate(const configuration &candidate);

} // namespace guavafront
