#pragma once

#include "program/exit_status.h"

#include <functional>

namespace guavafront
{

/// Runs the command that the command line selected; empty until the command line has been parsed.
using command_action = std::function<exit_status()>;

} // namespace guavafront
