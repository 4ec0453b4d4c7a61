#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds the "report" subcommand, which shows how fast services and client accounts spend their error budgets.
void addReportCommand(CLI::App &app, command_action &action);

} // namespace guavafront
