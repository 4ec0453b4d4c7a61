#include "daemon/daemon.h"
#include "platform/platform_command.h"
#include "program/announce_command.h"
#include "program/command_action.h"
#include "program/load_command.h"
#include "program/operator_command.h"
#include "program/print_faults.h"
#include "program/report_command.h"
#include "settings/settings_reader.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <sodium.h>

#include <cstdio>
#include <memory>
#include <string>

namespace guavafront
{

namespace
{

constexpr const char *versionText = "guavafront 0.1.0";

/// Reads a settings file. Prints its faults and throws coordination_error (SettingInvalid) when there are any.
daemon_settings checkedSettings(const std::string &path)
{
    settings_result result = readSettingsFile(path);
    requireNoFaults(path, result.faults);
    return std::move(result.values);
}

void addRunCommand(CLI::App &app, command_action &action)
{
    const auto path = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand("run", "Runs a daemon until SIGTERM");
    command->add_option("--settings", *path, "Settings file, JSON with comments")->required();
    command->callback([&action, path] {
        action = [path] {
            runDaemon(checkedSettings(*path));
            return exit_status::Done;
        };
    });
}

void addBootstrapCommand(CLI::App &app, command_action &action)
{
    const auto path = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand(
        "bootstrap",
        "Begins a new fleet's configuration on one control VM; once in a fleet's life, before its first run");
    command->add_option("--settings", *path, "Settings file, JSON with comments")->required();
    command->callback([&action, path] {
        action = [path] {
            bootstrapControl(checkedSettings(*path));
            return exit_status::Done;
        };
    });
}

void addCheckCommand(CLI::App &app, command_action &action)
{
    const auto path = std::make_shared<std::string>();
    const auto show = std::make_shared<bool>(false);
    CLI::App *command = app.add_subcommand("check", "Checks a settings file and prints every fault");
    command->add_option("--settings", *path, "Settings file, JSON with comments")->required();
    command->add_flag("--show", *show, "Print all settings, defaults included");
    command->callback([&action, path, show] {
        action = [path, show] {
            const daemon_settings settings = checkedSettings(*path);
            std::printf("%s\n", *show ? showSettings(settings).c_str() : "no faults");
            return exit_status::Done;
        };
    });
}

void addVersionCommand(CLI::App &app, command_action &action)
{
    app.add_subcommand("version", "Prints the version")->callback([&action] {
        action = [] {
            std::puts(versionText);
            return exit_status::Done;
        };
    });
}

exit_status runAction(const command_action &action)
{
    try {
        return action();
    } catch (const coordination_error &error) {
        const result_code_row &row = describe(error.code());
        std::fprintf(stderr, "%u %s: %s\n", static_cast<unsigned>(row.code), std::string(row.name).c_str(),
                     error.what());
        return exitStatusOf(error.code());
    } catch (const std::exception &error) {
        std::fprintf(stderr, "failed: %s\n", error.what());
        return exit_status::Refused;
    }
}

int runProgram(int argc, char **argv)
{
    CLI::App app("guavafront: a proxy fleet in front of upstreams that fail gray", "guavafront");
    app.require_subcommand(1);
    command_action action;
    addRunCommand(app, action);
    addBootstrapCommand(app, action);
    addCheckCommand(app, action);
    addOperatorCommand(app, action);
    addAnnounceCommand(app, action);
    addLoadCommand(app, action);
    addReportCommand(app, action);
    addPlatformCommand(app, action);
    addVersionCommand(app, action);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? static_cast<int>(exit_status::Done) : static_cast<int>(exit_status::Usage);
    }
    return static_cast<int>(runAction(action));
}

} // namespace

} // namespace guavafront

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_logbuflevel = -1;
    google::InitGoogleLogging(argv[0]);
    if (sodium_init() < 0) {
        std::fputs("libsodium can't be initialized\n", stderr);
        return static_cast<int>(guavafront::exit_status::Refused);
    }
    return guavafront::runProgram(argc, argv);
}
