#pragma once

#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <span>
#include <vector>

namespace guavafront
{

/// What is wanted of one service's instances, by this VM's evidence and the others' reports.
struct ejection_inputs {
    std::vector<ejection_request> requests; ///< Out of rotation or few turns.
    std::vector<ejection_motion> motions; ///< Suspect to some data centre: VMs may consent.
};

/// All that is wanted, for each service by its index.
std::vector<ejection_inputs> collectEjectionInputs(const upstream_selection &selection, const registry &known);

/// Gives and withdraws this VM's consents in a service.
void updateServiceConsents(const upstream_selection &selection, upstream_service &service,
                           const ejection_inputs &inputs, instant now);

/// Takes what is agreed out of rotation and lets what is only suspect have few turns, both above the floor; sets
/// standing and weight of the candidates.
void updateServiceRotation(upstream_service &service, const ejection_inputs &inputs, instant now);

/// Adds what this VM tells the others of a service.
void addToReport(const upstream_selection &selection, const upstream_service &service, instant now,
                 health_report &report);

} // namespace guavafront
