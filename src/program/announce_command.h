#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds the "announce" subcommand, which sends the announcements of an upstream instance on its behalf.
void addAnnounceCommand(CLI::App &app, command_action &action);

} // namespace guavafront
