#pragma once

#include "soak/soak_record.h"

#include <filesystem>

namespace guavafront
{

class platform_processes;

/// Plays a plan on processes that were just started, of the numbers in `size`, and returns what was seen. Takes about a
/// minute.
soak_record playSoak(platform_processes &fleet, const soak_plan &plan, const soak_size &size);

/// Writes a record as lines of text.
void writeRecord(const soak_record &record, const std::filesystem::path &file);

} // namespace guavafront
