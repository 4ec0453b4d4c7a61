#pragma once

#include "program/exit_status.h"

#include <functional>

namespace guavafront
{

/// What the command line asked for; empty until a command was chosen.
using command_action = std::function<exit_status()>;

} // namespace guavafront
