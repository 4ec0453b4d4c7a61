#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds the "operator" subcommand and its own subcommands; parsing the command line stores the chosen one in action.
void addOperatorCommand(CLI::App &app, command_action &action);

} // namespace guavafront
