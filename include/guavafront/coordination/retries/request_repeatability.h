#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <string_view>

namespace guavafront
{

/// Returns whether requests with the method may run more than once on a route with the given setting. The default
/// setting, ByMethod, allows it for idempotent methods only (RFC 9110 section 9.2.2). Methods are case-sensitive.
bool isRepeatable(repeatability rule, std::string_view method);

} // namespace guavafront
