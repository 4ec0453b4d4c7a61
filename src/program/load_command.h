#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds the "load" subcommand, which sends requests at given rates and measures their outcomes and latencies.
void addLoadCommand(CLI::App &app, command_action &action);

} // namespace guavafront
