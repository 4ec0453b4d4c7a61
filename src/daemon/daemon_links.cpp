#include "daemon/daemon_links.h"

#include "daemon/fleet/fleet_watch.h"
#include "storage/address_book_file.h"
#include "wire/catch_up_codec.h"
#include "wire/claims_codec.h"
#include "wire/departure_codec.h"
#include "wire/evidence_codec.h"
#include "wire/ledger_codec.h"
#include "wire/limits_codec.h"
#include "wire/load_codec.h"
#include "wire/registry_codec.h"
#include "wire/warmup_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <glog/logging.h>

#include <memory>
#include <utility>
#include <variant>

namespace guavafront
{

namespace
{

std::uint8_t roleBit(vm_role role)
{
    return static_cast<std::uint8_t>(1U << static_cast<unsigned>(role));
}

std::uint8_t roleBits(const daemon_settings &settings)
{
    std::uint8_t bits = 0;
    for (const vm_role role : settings.vm.roles) {
        bits = static_cast<std::uint8_t>(bits | roleBit(role));
    }
    return bits;
}

/// Subscribes handle to the messages of a channel. A message that it can't decode is counted and dropped.
template<class message_handler>
void subscribe(peers_task_options &options, channel kind, daemon_wiring &wiring, message_handler handle)
{
    options.subscribers[static_cast<std::size_t>(kind)] = [&wiring, handle](const peer_identity &from,
                                                                            envelope message) {
        try {
            handle(from.id, std::move(message));
        } catch (const coordination_error &error) {
            wiring.counters.countDroppedPeerMessage(error.code());
        }
    };
}

/// Hands departures to the entry task and confirms them. Without a confirmation they are passed on again.
void takeDepartures(const departures_passed_on &message, vm_id from, daemon_wiring &wiring)
{
    for (const departure &each : message.departures) {
        if (!wiring.entries.post(departure_reported{each, from})) {
            LOG(ERROR) << "departure of " << each.name << " isn't taken: the entry task is behind";
            return;
        }
    }
    wiring.peers.post(send_to_vm{
        from,
        {.kind = channel::Registry, .version = departureVersion, .body = encodeDepartures(confirmationOf(message))}});
}

/// Subscribes the tasks that keep what is known of upstream instances.
void subscribeInstances(peers_task_options &options, const daemon_settings &settings, vm_id self, daemon_wiring &wiring)
{
    subscribe(options, channel::Health, wiring, [&settings, self, &wiring](vm_id /*from*/, const envelope &message) {
        evidence_message decoded = decodeEvidence(message.body, message.version);
        if (hasRole(settings, vm_role::Entry)) {
            for (const observed_report &each : decoded.reports) {
                if (each.observer != self) {
                    wiring.entries.post(evidence_received{each.report});
                }
            }
        }
        if (hasRole(settings, vm_role::Control)) {
            wiring.hub.post(evidence_from_peer{std::move(decoded)});
        }
    });
    subscribe(options, channel::Loads, wiring, [&settings, &wiring](vm_id from, const envelope &message) {
        load_message decoded = decodeLoads(message.body, message.version);
        if (decoded.stage == load_stage::Published) {
            wiring.entries.post(hub_loads_received{std::move(decoded.loads), std::move(decoded.estimates)});
        } else if (hasRole(settings, vm_role::Control)) {
            wiring.hub.post(loads_received{from, std::move(decoded), message.version == workVersion});
        }
    });
    const bool isControl = hasRole(settings, vm_role::Control);
    subscribe(options, channel::Registry, wiring, [isControl, &wiring](vm_id from, const envelope &message) {
        if (message.version == warmupVersion) {
            wiring.entries.post(warmups_reported{decodeWarmups(message.body)});
            return;
        }
        if (message.version != departureVersion) {
            wiring.entries.post(instance_reported{from, decodeAnnouncement(message.body), news_path::Registrar, from});
            return;
        }
        departure_message decoded = decodeDepartures(message.body);
        if (isControl) {
            wiring.departures.post(departure_message_received{from, std::move(decoded)});
        } else if (const auto *passedOn = std::get_if<departures_passed_on>(&decoded)) {
            takeDepartures(*passedOn, from, wiring);
        }
    });
    subscribe(options, channel::CatchUp, wiring, [&wiring](vm_id from, const envelope &message) {
        const catch_up_message decoded = decodeCatchUp(message.body);
        if (const auto *question = std::get_if<instances_request>(&decoded)) {
            wiring.entries.post(known_instances_requested{from, question->fingerprint});
            return;
        }
        for (const instance_record &each : std::get<instances_list>(decoded).instances) {
            wiring.entries.post(instance_reported{each.registrar, each.last, news_path::CatchUp, from});
        }
    });
}

} // namespace

std::string advertisedAddress(const daemon_settings &settings)
{
    return toText(settings.peers.advertise.ip.empty() ? settings.listen.peers : settings.peers.advertise);
}

peers_task_options peersOptions(const daemon_settings &settings, const daemon_secrets &secrets, vm_id self,
                                daemon_wiring &wiring)
{
    peers_task_options options;
    options.links.listenAddress = toText(settings.listen.peers);
    options.links.link.self = {.id = self,
                               .address = advertisedAddress(settings),
                               .dataCentre = settings.vm.dataCentre,
                               .roles = roleBits(settings)};
    options.links.link.secret = secrets.fleet;
    for (const endpoint &seed : settings.peers.seeds) {
        options.seeds.push_back(toText(seed));
    }
    if (hasRole(settings, vm_role::Control)) {
        options.links.urgentRoles = ControlRole;
        options.book = readAddressBook(settings.vm.dataFolder).addresses;
    }
    options.watchers = makePeersWatchers(std::make_shared<fleet_watch>(options.links.link.self, wiring), wiring);
    subscribe(options, channel::Configuration, wiring, [&wiring](vm_id from, envelope message) {
        wiring.configurations.post(configuration_from_peer{from, std::move(message)});
    });
    subscribe(options, channel::Replication, wiring, [&wiring](vm_id from, envelope message) {
        wiring.control.post(replication_from_peer{from, std::move(message)});
    });
    subscribe(options, channel::Limits, wiring, [&wiring](vm_id from, const envelope &message) {
        wiring.entries.post(limit_message_received{from, decodeLimitMessage(message.body)});
    });
    subscribe(
        options, channel::Ledger, wiring,
        [&wiring, budgets = std::make_shared<ledger_owner>()](vm_id from, const envelope &message) {
            const ledger_message decoded = decodeLedgerMessage(message.body);
            if (const auto *report = std::get_if<ledger_report>(&decoded)) {
                const ledger_statement answer = applyReport(*budgets, from, *report, loop::now());
                wiring.peers.post(send_to_vm{from, {.kind = channel::Ledger, .body = encodeLedgerMessage(answer)}});
            } else {
                wiring.entries.post(ledger_statement_received{std::get<ledger_statement>(decoded)});
            }
        });
    subscribeInstances(options, settings, self, wiring);
    subscribe(options, channel::Claims, wiring, [&wiring](vm_id from, const envelope &message) {
        wiring.entries.post(claim_message_received{from, decodeClaimMessage(message.body)});
    });
    return options;
}

} // namespace guavafront
