#pragma once

#include "settings/daemon_settings.h"

#include <string_view>

namespace guavafront
{

/// Whether a setting must be present in the settings file.
enum class presence : std::uint8_t { Optional, Required };

/// Inclusive bounds of a numeric setting.
struct number_range {
    double lowest; ///< Smallest allowed value.
    double highest; ///< Largest allowed value.
};

/// Calls visitor.field(path, member, rule) for each setting, in the order in which settings are printed; the rule is a
/// presence or a number_range. Reading, checking and printing all use this list, so that none can miss a setting.
template<class visitor_type, class settings>
void visitSettings(visitor_type &visitor, settings &values)
{
    constexpr number_range bytes{1'024, 67'108'864};
    constexpr number_range milliseconds{1, 3'600'000};
    visitor.field("vm.name", values.vm.name, presence::Required);
    visitor.field("vm.dataCentre", values.vm.dataCentre, presence::Required);
    visitor.field("vm.roles", values.vm.roles, presence::Required);
    visitor.field("vm.memoryMb", values.vm.memoryMb, number_range{0, 1'048'576});
    visitor.field("vm.dataFolder", values.vm.dataFolder, presence::Optional);
    visitor.field("listen.callers", values.listen.callers, presence::Optional);
    visitor.field("listen.peers", values.listen.peers, presence::Required);
    visitor.field("listen.operators", values.listen.operators, presence::Optional);
    visitor.field("listen.announcements", values.listen.announcements, presence::Optional);
    visitor.field("listen.metrics", values.listen.metrics, presence::Required);
    visitor.field("listen.readyPath", values.listen.readyPath, presence::Optional);
    visitor.field("peers.advertise", values.peers.advertise, presence::Optional);
    visitor.field("peers.seeds", values.peers.seeds, presence::Optional);
    visitor.field("peers.fleetSize", values.peers.fleetSize, number_range{0, 10'000});
    visitor.field("peers.privateNetwork", values.peers.privateNetwork, presence::Optional);
    visitor.field("secrets.fleetSecretFile", values.secrets.fleetSecretFile, presence::Optional);
    visitor.field("secrets.serviceTokenFile", values.secrets.serviceTokenFile, presence::Optional);
    visitor.field("secrets.operatorTokensFile", values.secrets.operatorTokensFile, presence::Optional);
    visitor.field("control.voters", values.control.voters, number_range{3, 15});
    visitor.field("control.toleratedDiskLosses", values.control.toleratedDiskLosses, number_range{1, 7});
    visitor.field("control.founders", values.control.founders, presence::Optional);
    visitor.field("control.firstStart", values.control.firstStart, presence::Optional);
    visitor.field("entry.maxConnections", values.entry.maxConnections, number_range{1, 1'000'000});
    visitor.field("entry.maxHeaderBytes", values.entry.maxHeaderBytes, bytes);
    visitor.field("entry.maxBodyBytes", values.entry.maxBodyBytes, bytes);
    visitor.field("entry.idleTimeoutMs", values.entry.idleTimeoutMs, milliseconds);
    visitor.field("entry.balancerGraceMs", values.entry.balancerGraceMs, number_range{0, 600'000});
    visitor.field("entry.drainLimitMs", values.entry.drainLimitMs, milliseconds);
    visitor.field("entry.connectTimeoutMs", values.entry.connectTimeoutMs, milliseconds);
    visitor.field("entry.idleConnectionsPerInstance", values.entry.idleConnectionsPerInstance, number_range{1, 10'000});
    visitor.field("entry.unackedTimeoutMs", values.entry.unackedTimeoutMs, number_range{0, 3'600'000});
    visitor.field("entry.strictConfiguration", values.entry.strictConfiguration, presence::Optional);
    visitor.field("entry.sparse", values.entry.sparse, presence::Optional);
    visitor.field("entry.retrySlack", values.entry.retrySlack, number_range{0, 1'000'000});
    visitor.field("entry.retryPercent", values.entry.retryPercent, number_range{0, 100});
    visitor.field("entry.retryWindowMs", values.entry.retryWindowMs, number_range{1'000, 600'000});
    visitor.field("entry.warmupOvershoot", values.entry.warmupOvershoot, number_range{0, 1'000});
    visitor.field("entry.warmupSlack", values.entry.warmupSlack, number_range{0, 1'000'000});
    visitor.field("entry.urgencyOrder", values.entry.urgencyOrder, presence::Optional);
}

} // namespace guavafront
