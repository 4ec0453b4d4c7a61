#pragma once

#include <string>
#include <string_view>

namespace guavafront
{

/// Writes a file whole, in place of an older one. Throws coordination_error (FileUnreadable).
void writeOutputFile(const std::string &path, std::string_view text);

} // namespace guavafront
