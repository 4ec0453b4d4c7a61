#pragma once

#include <guavafront/coordination/configuration/configuration.h>

#include <string_view>

namespace guavafront
{

/// Whether requests with the method may run more than once on the route: the route's setting, by default idempotent
/// methods only (RFC 9110 section 9.2.2). Methods are case-sensitive.
bool isRepeatable(repeatability rule, std::string_view method);

} // namespace guavafront
