#pragma once

#include "program/command_action.h"

#include <CLI/CLI.hpp>

namespace guavafront
{

/// Adds "announce", a stand-in for an upstream's announcements.
void addAnnounceCommand(CLI::App &app, command_action &action);

} // namespace guavafront
