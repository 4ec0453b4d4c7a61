#include "program/announce_command.h"

#include "http/http_call.h"
#include "runtime/signal_watch.h"
#include "runtime/timer.h"
#include "settings/settings_reader.h"
#include "wire/announcement_json.h"
#include "wire/operator_json.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <sodium.h>

#include <csignal>
#include <cstdio>
#include <memory>

namespace guavafront
{

namespace
{

constexpr int statusNoContent = 204;

/// Command-line options of "announce".
struct announce_options {
    std::vector<std::string> servers; ///< Addresses of entry VMs as "IP:port", tried in order.
    std::string tokenFile; ///< Path of the file that holds the service token.
    std::string address; ///< Address where the instance serves requests, as "IP:port".
    std::string state = "serving"; ///< State of the instance: starting, serving, draining or leaving.
    std::uint32_t leaseMs = 3'000; ///< Milliseconds without an announcement until the instance counts as gone.
    std::uint32_t periodMs = 0; ///< Time between announcements in milliseconds; 0 sends only one.
    announcement message; ///< Announcement to send; the remaining options are stored here directly.
};

instance_state stateOf(const std::string &name)
{
    return name == "starting"   ? instance_state::Starting
           : name == "draining" ? instance_state::Draining
           : name == "leaving"  ? instance_state::Leaving
                                : instance_state::Serving;
}

/// Sends the announcement to the entry VMs in order until one accepts it; prints the errors of the others.
exit_status announceOnce(const announce_options &options, const std::string &token)
{
    const std::string body = toJson(options.message);
    for (const std::string &text : options.servers) {
        const std::optional<endpoint> server = parseEndpoint(text);
        if (!server) {
            throw coordination_error(result_code::SettingInvalid, "--server " + text + " is no IP number and port");
        }
        try {
            const http_answer answer =
                httpCall(*server, {.method = "POST", .target = "/v1/announcements", .token = token, .body = body});
            if (answer.status == statusNoContent) {
                return exit_status::Done;
            }
            std::fprintf(stderr, "%s: %.*s\n", text.c_str(), static_cast<int>(answer.body.size()),
                         reinterpret_cast<const char *>(answer.body.data()));
        } catch (const coordination_error &error) {
            std::fprintf(stderr, "%s\n", error.what());
        }
    }
    return exit_status::Refused;
}

/// Sends announcements periodically until SIGTERM or SIGINT, then announces that the instance is leaving.
exit_status announceUntilStopped(announce_options &options, const std::string &token)
{
    loop events;
    const signal_watch watch(events, {SIGTERM, SIGINT}, [&events] { events.stop(); });
    std::unique_ptr<timer> period;
    const auto announceNext = [&] {
        ++options.message.sequence;
        announceOnce(options, token);
        period->arm(std::chrono::milliseconds(options.periodMs));
    };
    period = std::make_unique<timer>(events, announceNext);
    period->arm({});
    events.run();
    ++options.message.sequence;
    options.message.state = instance_state::Leaving;
    return announceOnce(options, token);
}

exit_status announceInstance(announce_options options)
{
    const std::optional<endpoint> own = parseEndpoint(options.address);
    if (!own) {
        throw coordination_error(result_code::SettingInvalid, "--address is no IP number and port");
    }
    const std::string token = readSecretFile(options.tokenFile);
    options.message.ip = own->ip;
    options.message.port = own->port;
    options.message.state = stateOf(options.state);
    options.message.lease = std::chrono::milliseconds(options.leaseMs);
    while (options.message.instance.value == 0) {
        randombytes_buf(&options.message.instance.value, sizeof options.message.instance.value);
    }
    return options.periodMs == 0 ? announceOnce(options, token) : announceUntilStopped(options, token);
}

} // namespace

void addAnnounceCommand(CLI::App &app, command_action &action)
{
    const auto options = std::make_shared<announce_options>();
    CLI::App *command = app.add_subcommand("announce", "Announces an upstream instance, as upstreams do themselves");
    command->add_option("--server", options->servers, "IP:port of an entry VM's announcements; tried in order")
        ->required();
    command->add_option("--token-file", options->tokenFile, "File with the service token")->required();
    command->add_option("--service", options->message.service, "Service")->required();
    command->add_option("--address", options->address, "IP:port where the instance takes requests")->required();
    command->add_option("--data-centre", options->message.dataCentre, "Data centre of the instance")->required();
    command->add_option("--slots", options->message.slots, "Requests it runs at once");
    command->add_option("--instance", options->message.instance.value, "Number of this incarnation; drawn when absent");
    command->add_option("--sequence", options->message.sequence, "Number of the announcement");
    command->add_option("--state", options->state, "starting, serving, draining or leaving")
        ->check(CLI::IsMember({"starting", "serving", "draining", "leaving"}));
    command->add_option("--lease-ms", options->leaseMs, "Gone when silent for longer");
    command->add_option("--every-ms", options->periodMs, "Announce again and again until SIGTERM, then leave");
    command->callback([&action, options] {
        action = [options] {
            return announceInstance(*options);
        };
    });
}

} // namespace guavafront
