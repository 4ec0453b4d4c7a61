#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds "load", which sends requests at given rates and measures what becomes of them.
void addLoadCommand(CLI::App &app, command_action &action);

} // namespace guavafront
