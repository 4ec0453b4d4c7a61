#pragma once

#include <guavafront/coordination/upstreams/upstream_selection.h>

#include <span>
#include <vector>

namespace guavafront
{

/// All that is wanted out of rotation, by this VM's evidence and the others' reports, for each service by its index.
std::vector<std::vector<ejection_request>> collectRequests(upstream_selection &selection, const registry &known,
                                                           instant now);

/// Grants a service's requests above the floor, and sets standing and weight of its candidates.
void decideRotation(const upstream_selection &selection, selected_service &service,
                    std::span<const ejection_request> requests, instant now);

/// Adds what this VM tells the others of a service.
void addToReport(const upstream_selection &selection, const selected_service &service,
                 std::span<const ejection_request> requests, instant now, health_report &report);

} // namespace guavafront
