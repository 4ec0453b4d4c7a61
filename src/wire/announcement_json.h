#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Parses the JSON object that an upstream instance sends over HTTP. defaultLease replaces an absent lease_ms. Throws
/// coordination_error (AnnouncementRefused) with the name of the invalid field.
announcement parseAnnouncementJson(std::string_view text, duration defaultLease);

/// Encodes an announcement as the JSON that parseAnnouncementJson() parses.
std::string toJson(const announcement &value);

} // namespace guavafront
