#pragma once

#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/entry/entry_event.h>
#include <guavafront/coordination/spread/spread_table.h>

#include <optional>

namespace guavafront
{

/// Returns the update of the spread map that announces an instance registered at this VM.
spread_publish publicationOf(const publish_instance &effect);

/// Returns the update that withdraws an instance no longer registered at this VM.
spread_withdraw publicationOf(const withdraw_instance &effect);

/// Returns the update that publishes this VM's view of the health of upstream instances.
spread_publish publicationOf(const publish_health &effect);

/// Returns the update that reports that an instance died while it ran a request.
spread_publish publicationOf(const publish_death &effect);

/// Returns the update that reports that an operator released a request from quarantine.
spread_publish publicationOf(const publish_release &effect);

/// Returns the update that offers this VM as one that can store claims.
spread_publish publicationOf(const publish_claims_member &effect);

/// Returns the update by which a control VM publishes the agreed view of the VMs that store claims.
spread_publish publicationOf(const claims_view &agreed);

/// Returns the VM that a spread entry offers as one that can store claims, or nothing when the entry is of another kind
/// or was removed. Throws coordination_error (MessageMalformed).
std::optional<claims_member> claimsMemberOf(const spread_entry &entry);

/// Returns the event that a change of another VM's spread entry causes at this VM, or nothing when the change causes
/// none. Throws coordination_error (MessageMalformed).
std::optional<entry_event> eventOf(const spread_entry &entry);

} // namespace guavafront
