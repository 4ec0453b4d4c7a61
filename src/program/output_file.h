#pragma once

#include <string>
#include <string_view>

namespace guavafront
{

/// Writes text to a file and replaces its previous content. Throws coordination_error (FileUnreadable) when the file
/// can't be written.
void writeOutputFile(const std::string &path, std::string_view text);

} // namespace guavafront
