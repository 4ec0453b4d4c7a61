#pragma once

#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <span>
#include <vector>

namespace guavafront
{

/// Ejections in one service that this VM's evidence and the other VMs' reports call for.
struct ejection_inputs {
    std::vector<ejection_request> requests; ///< Instances to eject or to give a low weight.
    std::vector<ejection_proposal> motions; ///< Suspects of some data centre; VMs may consent to their ejection.
};

/// Share of a service's capacity that stays in use, in percent.
std::uint32_t floorPercentOf(const upstream_selection &selection, std::string_view service);

/// Collects the inputs of all services, by the services' indexes.
std::vector<ejection_inputs> collectEjectionInputs(const upstream_selection &selection, const registry &known);

/// Gives and withdraws this VM's consents in one service.
void updateServiceConsents(const upstream_selection &selection, upstream_service &service,
                           const ejection_inputs &inputs, instant now);

/// Ejects the instances that a majority of VMs consents to, and gives suspect ones without a majority a low weight,
/// both only as far as the floor allows. Sets rotation state and weight of the candidates.
void updateServiceRotation(upstream_service &service, const ejection_inputs &inputs, instant now);

/// Adds this VM's suspicions and consents in one service to its health report.
void addToReport(const upstream_selection &selection, const upstream_service &service, instant now,
                 health_report &report);

} // namespace guavafront
