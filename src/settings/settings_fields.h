#pragma once

#include "settings/daemon_settings.h"

#include <string_view>

namespace guavafront
{

/// Whether a setting must be given.
enum class presence : std::uint8_t { Optional, Required };

/// Bounds of a number, both allowed.
struct number_range {
    double lowest; ///< Smallest value.
    double highest; ///< Largest value.
};

/// Calls visitor.field(path, member, rule) for each setting, in the order of the printed page. The one list that
/// reading, checking and printing share.
template<class visitor, class settings>
void visitSettings(visitor &each, settings &values)
{
    constexpr number_range bytes{1'024, 67'108'864};
    constexpr number_range milliseconds{1, 3'600'000};
    each.field("vm.name", values.vm.name, presence::Required);
    each.field("vm.dataCentre", values.vm.dataCentre, presence::Required);
    each.field("vm.roles", values.vm.roles, presence::Required);
    each.field("vm.dataFolder", values.vm.dataFolder, presence::Optional);
    each.field("listen.callers", values.listen.callers, presence::Optional);
    each.field("listen.peers", values.listen.peers, presence::Required);
    each.field("listen.operators", values.listen.operators, presence::Optional);
    each.field("listen.announcements", values.listen.announcements, presence::Optional);
    each.field("listen.metrics", values.listen.metrics, presence::Required);
    each.field("listen.readyPath", values.listen.readyPath, presence::Optional);
    each.field("peers.advertise", values.peers.advertise, presence::Optional);
    each.field("peers.seeds", values.peers.seeds, presence::Optional);
    each.field("peers.fleetSize", values.peers.fleetSize, number_range{0, 10'000});
    each.field("peers.privateNetwork", values.peers.privateNetwork, presence::Optional);
    each.field("secrets.fleetSecretFile", values.secrets.fleetSecretFile, presence::Optional);
    each.field("secrets.serviceTokenFile", values.secrets.serviceTokenFile, presence::Optional);
    each.field("secrets.operatorTokensFile", values.secrets.operatorTokensFile, presence::Optional);
    each.field("control.voters", values.control.voters, number_range{3, 15});
    each.field("control.founders", values.control.founders, presence::Optional);
    each.field("control.firstStart", values.control.firstStart, presence::Optional);
    each.field("entry.maxConnections", values.entry.maxConnections, number_range{1, 1'000'000});
    each.field("entry.maxHeaderBytes", values.entry.maxHeaderBytes, bytes);
    each.field("entry.maxBodyBytes", values.entry.maxBodyBytes, bytes);
    each.field("entry.idleTimeoutMs", values.entry.idleTimeoutMs, milliseconds);
    each.field("entry.balancerGraceMs", values.entry.balancerGraceMs, number_range{0, 600'000});
    each.field("entry.drainLimitMs", values.entry.drainLimitMs, milliseconds);
    each.field("entry.connectTimeoutMs", values.entry.connectTimeoutMs, milliseconds);
    each.field("entry.idleConnectionsPerInstance", values.entry.idleConnectionsPerInstance, number_range{1, 10'000});
    each.field("entry.unackedTimeoutMs", values.entry.unackedTimeoutMs, number_range{0, 3'600'000});
    each.field("entry.strictConfiguration", values.entry.strictConfiguration, presence::Optional);
    each.field("entry.sparse", values.entry.sparse, presence::Optional);
}

} // namespace guavafront
