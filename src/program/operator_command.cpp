#include "program/operator_command.h"

#include "program/operator_client.h"
#include "settings/settings_reader.h"
#include "wire/operator_json.h"
#include "wire/quarantine_json.h"

#include <guavafront/coordination/configuration/setting.h>
#include <guavafront/coordination/core/coordination_error.h>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <cstdio>
#include <memory>
#include <optional>

namespace guavafront
{

namespace
{

constexpr double maxWaitSeconds = 3'600;

/// Options that all operator subcommands share.
struct operator_options {
    std::vector<std::string> servers; ///< Addresses of control VMs as "IP:port", tried in order.
    std::string tokenFile; ///< Path of the file that holds the operator's token.
    std::string requestId; ///< Request ID as 32 hex digits; a random one is generated when empty.
    std::optional<std::uint64_t> expectedRevision; ///< Base of the change; read from the control VMs when absent.
    bool wait = false; ///< Whether to wait until the change is in force on all live entry VMs.
    double waitSeconds = 30; ///< Longest time to wait, in seconds.
};

/// Arguments of the subcommands; each subcommand fills only those that it takes.
struct change_options {
    std::string name; ///< Name of the client account, key or setting.
    std::string account; ///< Client account that a key belongs to.
    std::string file; ///< Path of the file that holds a key.
    std::string subject; ///< Subject of an exception: account:NAME or service:NAME.
    std::string reason; ///< Reason that the operator gives for an exception.
    std::vector<std::string> kinds; ///< Kinds of request, most important first.
    double value = 0; ///< Value of a default or an exception, in the unit of the setting.
    std::string repeats = "by_method"; ///< Which of a route's requests may be sent again: by_method, always or never.
    route path; ///< Route to put or remove.
};

operator_client clientOf(const operator_options &options)
{
    operator_client client{.servers = {}, .token = readSecretFile(options.tokenFile)};
    for (const std::string &text : options.servers) {
        const std::optional<endpoint> server = parseEndpoint(text);
        if (!server) {
            throw coordination_error(result_code::SettingInvalid, "--server " + text + " is no IP number and port");
        }
        client.servers.push_back(*server);
    }
    return client;
}

exit_status printConfirmationStatus(const operator_options &options, revision accepted)
{
    const auto limit = std::chrono::duration_cast<duration>(std::chrono::duration<double>(options.waitSeconds));
    const confirmation_status answer =
        awaitConfirmation(clientOf(options), accepted, options.wait ? limit : duration(0));
    std::printf("%s\n", answer.json.c_str());
    return exitStatusOf(answer.code);
}

exit_status submit(const operator_options &options, change edit)
{
    const operator_client client = clientOf(options);
    change_request request{.id = options.requestId.empty() ? randomChangeId() : parseChangeId(options.requestId),
                           .expectedRevision = {},
                           .changes = {std::move(edit)}};
    request.expectedRevision = options.expectedRevision ? revision{*options.expectedRevision} : currentRevision(client);
    std::fprintf(stderr, "request ID %s, expected revision %llu\n", toHex(request.id).c_str(),
                 static_cast<unsigned long long>(request.expectedRevision.value));
    const change_answer answer = submitChange(client, request);
    if (options.wait && answer.code == result_code::Ok) {
        return printConfirmationStatus(options, answer.atRevision);
    }
    std::printf("%s\n", toJson(answer).c_str());
    return exitStatusOf(answer.code);
}

key_hash hashOfKeyFile(const std::string &path)
{
    const std::string key = readSecretFile(path);
    key_hash hash;
    crypto_hash_sha256(reinterpret_cast<unsigned char *>(hash.data()),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size());
    return hash;
}

/// Reads the fleet-wide defaults from the control VMs and changes one of them. Throws coordination_error
/// (ChangeInvalid) when the setting is unknown or the value is out of range.
fleet_defaults changedDefault(const operator_options &options, const std::string &name, double value)
{
    const auto document = nlohmann::json::parse(readFromControl(clientOf(options), "/v1/configuration"));
    fleet_defaults values;
    for (const setting_descriptor &setting : settingTable()) {
        setting.write(values, document.at("defaults").at(std::string(setting.name)).get<double>());
    }
    const setting_descriptor *setting = findSetting(name);
    if (!setting || !isAllowed(*setting, value)) {
        throw coordination_error(result_code::ChangeInvalid, name + " is no setting, or the value is out of range");
    }
    setting->write(values, value);
    return values;
}

route routeOf(const change_options &given)
{
    route path = given.path;
    path.repeats = given.repeats == "always"  ? repeatability::Repeatable
                   : given.repeats == "never" ? repeatability::NotRepeatable
                                              : repeatability::ByMethod;
    return path;
}

/// Parsed arguments of the operator subcommands, shared by the callbacks of the command-line parser.
struct operator_arguments {
    operator_options options; ///< Options common to all subcommands.
    change_options given; ///< Arguments of the chosen subcommand.
};

using operator_arguments_pointer = std::shared_ptr<operator_arguments>;

void addChange(CLI::App *command, command_action &action, const operator_arguments_pointer &arguments,
               std::function<change(const operator_arguments &)> make)
{
    command->callback([&action, arguments, make = std::move(make)] {
        action = [arguments, make] {
            return submit(arguments->options, make(*arguments));
        };
    });
}

void addReplaceCommand(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    const auto oldVm = std::make_shared<std::string>();
    const auto newVm = std::make_shared<std::string>();
    CLI::App *replace = parent.add_subcommand("replace", "Replaces a control VM by one that waits, or removes it");
    replace->add_option("--old", *oldVm, "Member that goes, as status names it")->required();
    replace->add_option("--new", *newVm, "Waiting VM that takes its place; without it the member is only removed");
    replace->callback([&action, arguments, oldVm, newVm] {
        action = [arguments, oldVm, newVm] {
            const replacement_request request{parseVmId(*oldVm), newVm->empty() ? vm_id{} : parseVmId(*newVm)};
            const change_answer answer = submitReplacement(clientOf(arguments->options), request);
            std::printf("%s\n", toJson(answer).c_str());
            return exitStatusOf(answer.code);
        };
    });
}

void addAccountCommands(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    CLI::App *accounts = parent.add_subcommand("account", "Client accounts")->require_subcommand(1);
    CLI::App *create = accounts->add_subcommand("create", "Creates a client account");
    create->add_option("name", arguments->given.name, "Unique name")->required();
    addChange(create, action, arguments, [](const auto &all) { return create_account{all.given.name}; });
    CLI::App *order = accounts->add_subcommand("order", "Sets the account's order of kinds of requests");
    order->add_option("name", arguments->given.name, "Account")->required();
    order->add_option("kinds", arguments->given.kinds, "Kinds, most important first")->required();
    addChange(order, action, arguments, [](const auto &all) {
        return set_kind_order{all.given.name, all.given.kinds};
    });
}

void addKeyCommands(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    CLI::App *keys = parent.add_subcommand("key", "Keys of client accounts")->require_subcommand(1);
    CLI::App *grant = keys->add_subcommand("grant", "Grants a key; only its hash leaves this machine");
    grant->add_option("label", arguments->given.name, "Unique name of the key")->required();
    grant->add_option("--account", arguments->given.account, "Account it speaks for")->required();
    grant->add_option("--key-file", arguments->given.file, "File with the key")->required();
    addChange(grant, action, arguments, [](const auto &all) {
        return grant_key{all.given.name, all.given.account, hashOfKeyFile(all.given.file)};
    });
    CLI::App *withdraw = keys->add_subcommand("withdraw", "Withdraws a key for good");
    withdraw->add_option("label", arguments->given.name, "Name of the key")->required();
    addChange(withdraw, action, arguments, [](const auto &all) { return withdraw_key{all.given.name}; });
}

void addSettingCommands(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    CLI::App *change = parent.add_subcommand("default", "Changes one fleet-wide default");
    change->add_option("setting", arguments->given.name, "Name of the default")->required();
    change->add_option("value", arguments->given.value, "New value in the unit of its name")->required();
    addChange(change, action, arguments, [](const auto &all) {
        return set_defaults{changedDefault(all.options, all.given.name, all.given.value)};
    });
    CLI::App *exceptions = parent.add_subcommand("exception", "Exceptions from defaults")->require_subcommand(1);
    CLI::App *put = exceptions->add_subcommand("put", "Creates or replaces an exception");
    put->add_option("subject", arguments->given.subject, "account:NAME or service:NAME")->required();
    put->add_option("setting", arguments->given.name, "Name of the default")->required();
    put->add_option("value", arguments->given.value, "Value for the subject")->required();
    put->add_option("--reason", arguments->given.reason, "Why")->required();
    addChange(put, action, arguments, [](const auto &all) {
        return put_exception{{all.given.subject, all.given.name, all.given.value, all.given.reason}};
    });
    CLI::App *remove = exceptions->add_subcommand("remove", "Removes an exception");
    remove->add_option("subject", arguments->given.subject, "account:NAME or service:NAME")->required();
    remove->add_option("setting", arguments->given.name, "Name of the default")->required();
    addChange(remove, action, arguments, [](const auto &all) {
        return remove_exception{all.given.subject, all.given.name};
    });
}

void addRouteCommands(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    route &path = arguments->given.path;
    CLI::App *routes = parent.add_subcommand("route", "Routes from callers to services")->require_subcommand(1);
    CLI::App *put = routes->add_subcommand("put", "Creates a route or replaces the one at the same place");
    put->add_option("prefix", path.pathPrefix, "Path prefix")->required();
    put->add_option("--host", path.host, "Host; any when absent");
    put->add_option("--service", path.service, "Service")->required();
    put->add_option("--kind", path.kind, "Kind of request in account managers' orders")->required();
    put->add_flag("--open", path.openToAll, "No key is needed");
    put->add_flag("--ordered", path.ordered, "Changes of one resource keep their order");
    put->add_option("--repeats", arguments->given.repeats, "by_method, always or never")
        ->check(CLI::IsMember({"by_method", "always", "never"}));
    put->add_option("--timeout-ms", path.timeoutMs, "Deadline; 0 takes the default");
    addChange(put, action, arguments, [](const auto &all) { return put_route{routeOf(all.given)}; });
    CLI::App *remove = routes->add_subcommand("remove", "Removes a route");
    remove->add_option("prefix", path.pathPrefix, "Path prefix")->required();
    remove->add_option("--host", path.host, "Host; any when absent");
    addChange(remove, action, arguments, [](const auto &all) {
        return remove_route{all.given.path.host, all.given.path.pathPrefix};
    });
}

void addEvacuationCommands(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    const auto add = [&](const char *name, const char *help, evacuation_action ordered) {
        CLI::App *command = parent.add_subcommand(name, help);
        command->add_option("data-centre", arguments->given.name, "Name of the data centre")->required();
        addChange(command, action, arguments, [ordered](const auto &all) {
            return evacuation_order{.dataCentre = all.given.name, .action = ordered, .orderedMs = 0};
        });
    };
    add("evacuate", "Sends nothing more to the instances of a data centre", evacuation_action::Start);
    add("end-evacuation", "Lets the instances of a data centre have requests again", evacuation_action::End);
}

void addConfirmationsCommand(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    const auto accepted = std::make_shared<std::uint64_t>(0);
    CLI::App *command = parent.add_subcommand("confirmations", "Names the entry VMs that haven't confirmed a revision");
    command->add_option("revision", *accepted, "Accepted revision")->required();
    command->callback([&action, arguments, accepted] {
        action = [arguments, accepted] {
            return printConfirmationStatus(arguments->options, {*accepted});
        };
    });
}

void addReleaseCommand(CLI::App &quarantine, command_action &action, const operator_arguments_pointer &arguments)
{
    const auto request = std::make_shared<std::string>();
    CLI::App *release = quarantine.add_subcommand("release", "Lets a held-back request run again");
    release->add_option("request", *request, "16 hex digits, as listed")->required();
    release->callback([&action, arguments, request] {
        action = [arguments, request] {
            const request_fingerprint named = parseFingerprint(*request);
            std::printf("%s\n", releaseFromQuarantine(clientOf(arguments->options), named).c_str());
            return exit_status::Done;
        };
    });
}

void addReadCommand(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments,
                    const char *name, const char *help, const char *target)
{
    parent.add_subcommand(name, help)->callback([&action, arguments, target] {
        action = [arguments, target] {
            std::printf("%s\n", readFromControl(clientOf(arguments->options), target).c_str());
            return exit_status::Done;
        };
    });
}

void addQuarantineCommands(CLI::App &parent, command_action &action, const operator_arguments_pointer &arguments)
{
    CLI::App *quarantine = parent.add_subcommand("quarantine", "Requests held back since instances died of them");
    quarantine->require_subcommand(1);
    addReadCommand(*quarantine, action, arguments, "list", "Lists them", "/v1/quarantine");
    addReleaseCommand(*quarantine, action, arguments);
}

} // namespace

void addOperatorCommand(CLI::App &app, command_action &action)
{
    const auto arguments = std::make_shared<operator_arguments>();
    CLI::App *parent = app.add_subcommand("operator", "Reads and changes the fleet's configuration");
    parent->require_subcommand(1);
    parent->fallthrough();
    parent->add_option("--server", arguments->options.servers, "IP:port of a control VM; may be given several times")
        ->required();
    parent->add_option("--token-file", arguments->options.tokenFile, "File with the operator's token")->required();
    parent->add_option("--request-id", arguments->options.requestId, "32 hex digits; a resend carries the same one");
    parent->add_option("--expected-revision", arguments->options.expectedRevision,
                       "Revision that the change is based on; asked for when absent");
    parent->add_flag("--wait", arguments->options.wait, "Waits until the change is in force on all live entry VMs");
    parent
        ->add_option("--wait-seconds", arguments->options.waitSeconds, "Longest wait; then names who hasn't confirmed")
        ->check(CLI::Range(0.0, maxWaitSeconds));
    addAccountCommands(*parent, action, arguments);
    addKeyCommands(*parent, action, arguments);
    addSettingCommands(*parent, action, arguments);
    addRouteCommands(*parent, action, arguments);
    addEvacuationCommands(*parent, action, arguments);
    addReplaceCommand(*parent, action, arguments);
    addConfirmationsCommand(*parent, action, arguments);
    addQuarantineCommands(*parent, action, arguments);
    addReadCommand(*parent, action, arguments, "status", "Shows the control VM's status", "/v1/status");
    addReadCommand(*parent, action, arguments, "show", "Shows the configuration", "/v1/configuration");
}

} // namespace guavafront
