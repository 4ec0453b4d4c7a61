#include "program/load_command.h"

#include "load/load_arguments.h"
#include "load/load_output.h"
#include "load/load_run.h"
#include "program/output_file.h"

#include <unistd.h>

#include <cstdio>
#include <memory>

namespace guavafront
{

namespace
{

constexpr double lowestDirectRate = 0.01;
constexpr double highestDirectRate = 1e6;

/// Command-line options of "load", before they are parsed further.
struct load_command_arguments {
    std::vector<std::string> targets; ///< Addresses of entry VMs as "IP:port".
    std::vector<std::string> direct; ///< Addresses of upstreams for the direct comparison, as "IP:port".
    std::vector<std::string> accounts; ///< Client accounts, in the format of parseLoadAccount().
    std::vector<std::string> requests{"GET /"}; ///< Mix of requests, each in the format of parseLoadRequest().
    double directRate = 0; ///< Requests per second sent directly to the upstreams.
    double seconds = 10; ///< Time during which requests arrive, in seconds.
    std::uint32_t timeoutMs = 10'000; ///< Timeout of each request, in milliseconds.
    std::uint32_t connections = 64; ///< Maximum number of connections to each address.
    std::uint64_t seed = 1; ///< Seed of the arrival schedule.
    std::string jsonFile; ///< Path of the file to write the results to as JSON; empty writes none.
};

load_options optionsOf(const load_command_arguments &given)
{
    constexpr double microsecondsPerSecond = 1e6;
    load_options options{.plan = {},
                         .entryServers = parseEndpoints(given.targets, "--target"),
                         .directServers = parseEndpoints(given.direct, "--direct"),
                         .connectionsPerTarget = given.connections,
                         .timeout = std::chrono::milliseconds(given.timeoutMs)};
    for (const std::string &account : given.accounts) {
        options.plan.accounts.push_back(parseLoadAccount(account));
    }
    if (!options.directServers.empty()) {
        options.plan.accounts.push_back(
            {.name = "(direct)", .key = {}, .ratePerSecond = given.directRate, .path = load_path::Direct});
    }
    for (const std::string &request : given.requests) {
        options.plan.requests.push_back(parseLoadRequest(request));
    }
    options.plan.entryTargetCount = options.entryServers.size();
    options.plan.directTargetCount = options.directServers.size();
    options.plan.length = duration(static_cast<std::int64_t>(given.seconds * microsecondsPerSecond));
    options.plan.seed = given.seed;
    return options;
}

/// Prints the progress to standard error: on a terminal it overwrites the previous line, elsewhere it adds a line.
void showProgress(const load_plan &plan, duration elapsed, const load_result &result)
{
    const bool terminal = isatty(STDERR_FILENO) != 0;
    std::fprintf(stderr, terminal ? "\r%s\033[K" : "%s\n", progressLine(plan, elapsed, result).c_str());
}

exit_status runLoadCommand(const load_command_arguments &given)
{
    const load_options options = optionsOf(given);
    const load_result result = runLoad(options, [&options](duration elapsed, const load_result &soFar) {
        showProgress(options.plan, elapsed, soFar);
    });
    if (isatty(STDERR_FILENO) != 0) {
        std::fputc('\n', stderr);
    }
    std::fputs(loadText(options, result).c_str(), stdout);
    if (!given.jsonFile.empty()) {
        writeOutputFile(given.jsonFile, loadJson(options, result));
    }
    const bool answered = combinedTally(options.plan, result, load_path::ThroughEntry).answered > 0;
    return answered && !result.interrupted ? exit_status::Done : exit_status::Refused;
}

} // namespace

void addLoadCommand(CLI::App &app, command_action &action)
{
    const auto given = std::make_shared<load_command_arguments>();
    CLI::App *command = app.add_subcommand("load", "Sends requests at given rates and measures what becomes of them");
    command->add_option("--target", given->targets, "IP:port where an entry VM serves callers; several share the load")
        ->required();
    command
        ->add_option("--account", given->accounts,
                     "Client account: name=NAME,rate=REQUESTS_A_SECOND[,limit=RATE,burst=REQUESTS][,key-file=FILE]; "
                     "limit and burst are what it is entitled to")
        ->required();
    command->add_option("--request", given->requests, "\"METHOD PATH [WEIGHT]\"; several make a mix");
    CLI::Option *direct =
        command->add_option("--direct", given->direct, "IP:port of an upstream, to compare with in the same run");
    CLI::Option *rate =
        command->add_option("--direct-rate", given->directRate, "Requests a second to the --direct addresses");
    rate->check(CLI::Range(lowestDirectRate, highestDirectRate));
    rate->needs(direct);
    direct->needs(rate);
    command->add_option("--seconds", given->seconds, "Length of the arrivals")->check(CLI::Range(0.01, 86'400.0));
    command->add_option("--timeout-ms", given->timeoutMs, "A request without a whole answer by then has failed")
        ->check(CLI::Range(1U, 600'000U));
    command->add_option("--connections", given->connections, "Kept connections to each address at most")
        ->check(CLI::Range(1U, 100'000U));
    command->add_option("--seed", given->seed, "The same seed gives the same arrivals");
    command->add_option("--json", given->jsonFile, "File for the results as JSON");
    command->callback([&action, given] {
        action = [given] {
            return runLoadCommand(*given);
        };
    });
}

} // namespace guavafront
