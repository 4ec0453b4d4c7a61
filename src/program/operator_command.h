#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds "operator" with its subcommands; the chosen one fills action.
void addOperatorCommand(CLI::App &app, command_action &action);

} // namespace guavafront
