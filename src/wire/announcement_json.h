#pragma once

#include <guavafront/coordination/registry/announcement.h>

#include <string>
#include <string_view>

namespace guavafront
{

/// Reads the JSON object that an instance sends over HTTP; an absent lease_ms takes defaultLease. Throws
/// coordination_error (AnnouncementRefused) with the name of the faulty field.
announcement parseAnnouncementJson(std::string_view text, duration defaultLease);

/// JSON that parseAnnouncementJson() reads back.
std::string toJson(const announcement &value);

} // namespace guavafront
