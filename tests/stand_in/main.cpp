#include "stand_in/announcer.h"
#include "stand_in/stand_in.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <CLI/CLI.hpp>
#include <event2/event.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>

namespace guavafront
{

namespace
{

/// Values of the command-line options of the stand-in.
struct arguments {
    stand_in_options options; ///< Options of the stand-in itself.
    std::int64_t latencyMs = 0; ///< Time that a request runs, in milliseconds.
    announcement announced; ///< Announcement without the state and load, which are added when it is sent.
    std::int64_t leaseMs = 3000; ///< Lease of the announcements, in milliseconds.
    std::vector<std::string> announceTo; ///< Announcement addresses of the entry VMs, as IP:PORT.
    std::string tokenFile; ///< File with the service token.
    std::string portFile; ///< File to which the bound port is written; empty writes none.
    std::uint16_t announcedPort = 0; ///< Port to announce, as that of a relay; 0 announces the bound one.
};

void addOptions(CLI::App &app, arguments &given)
{
    app.add_option("--address", given.options.server.address, "IP number to listen on");
    app.add_option("--port", given.options.server.port, "port to listen on; 0 takes a free one");
    app.add_option("--port-file", given.portFile, "file that the bound port is written to");
    app.add_option("--name", given.options.name, "shown in each answer");
    app.add_option("--latency-ms", given.latencyMs, "time to run a request");
    app.add_option("--slots", given.options.slots, "requests it runs at once");
    app.add_option("--service", given.announced.service, "service that it announces");
    app.add_option("--data-centre", given.announced.dataCentre, "data centre that it announces");
    app.add_option("--lease-ms", given.leaseMs, "lease of its announcements");
    app.add_option("--announce-to", given.announceTo, "entry VM that receives its announcements, IP:PORT");
    app.add_option("--announced-port", given.announcedPort, "port that it announces, when a relay stands before it");
    app.add_option("--runs-file", given.options.runsFile, "file that gets a line of JSON for each run");
    app.add_option("--token-file", given.tokenFile, "file with the service token");
}

std::vector<endpoint> parseTargets(std::span<const std::string> texts)
{
    std::vector<endpoint> targets;
    for (const std::string &text : texts) {
        const std::optional<endpoint> target = parseEndpoint(text);
        if (!target) {
            throw coordination_error(result_code::SettingInvalid,
                                     "--announce-to: " + text + " is not an address of the form IP:PORT");
        }
        targets.push_back(*target);
    }
    return targets;
}

std::string readToken(const std::string &file)
{
    std::string token;
    std::ifstream(file) >> token;
    return token;
}

void writePort(const std::string &file, std::uint16_t port)
{
    std::cout << "listening on port " << port << std::endl;
    if (!file.empty()) {
        std::ofstream(file + ".new") << port << '\n';
        std::rename((file + ".new").c_str(), file.c_str());
    }
}

void stopCallback(int /*signal*/, short /*events*/, void *owner)
{
    static_cast<loop *>(owner)->requestStop();
}

void runStandIn(arguments given)
{
    loop events;
    given.options.latency = std::chrono::milliseconds(given.latencyMs);
    std::unique_ptr<announcer> periodicAnnouncer;
    stand_in upstream(events, given.options, [&periodicAnnouncer] {
        if (periodicAnnouncer) {
            periodicAnnouncer->announceNow();
        }
    });
    given.announced.instance = {std::random_device()() | (std::uint64_t{std::random_device()()} << 32)};
    given.announced.ip = given.options.server.address;
    given.announced.port = given.announcedPort != 0 ? given.announcedPort : upstream.port();
    given.announced.slots = static_cast<std::uint16_t>(given.options.slots);
    given.announced.lease = std::chrono::milliseconds(given.leaseMs);
    periodicAnnouncer = std::make_unique<announcer>(events, parseTargets(given.announceTo), readToken(given.tokenFile),
                                                    [&given, &upstream] {
                                                        announcement message = given.announced;
                                                        message.state = upstream.state();
                                                        message.load = upstream.load();
                                                        return message;
                                                    });
    periodicAnnouncer->announceNow();
    events.onStopRequested([&upstream, &events] { upstream.stop([&events] { events.stop(); }); });
    event *terminated = evsignal_new(events.base(), SIGTERM, stopCallback, &events);
    event_add(terminated, nullptr);
    writePort(given.portFile, upstream.port());
    events.run();
    event_free(terminated);
}

} // namespace

} // namespace guavafront

int main(int argumentCount, char **argumentTexts)
{
    CLI::App app("Upstream for guavafront's tests and examples");
    guavafront::arguments given;
    guavafront::addOptions(app, given);
    CLI11_PARSE(app, argumentCount, argumentTexts);
    try {
        guavafront::runStandIn(std::move(given));
    } catch (const guavafront::coordination_error &failure) {
        std::cerr << failure.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
