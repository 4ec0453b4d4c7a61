#pragma once

#include <guavafront/coordination/entry/entry_effect.h>
#include <guavafront/coordination/entry/entry_event.h>
#include <guavafront/coordination/spread/spread_table.h>

#include <optional>

namespace guavafront
{

/// What an entry's effects write into the spread map.
spread_publish publicationOf(const publish_instance &effect);
spread_withdraw publicationOf(const withdraw_instance &effect); ///< An own instance is gone.
spread_publish publicationOf(const publish_health &effect); ///< This VM's view of upstreams' health.
spread_publish publicationOf(const publish_death &effect); ///< An instance died with a request on it.
spread_publish publicationOf(const publish_release &effect); ///< An operator released a request.
spread_publish publicationOf(const publish_claims_member &effect); ///< This VM can keep claims.
spread_publish publicationOf(const claims_view &agreed); ///< A control VM passes on the agreed view.

/// The VM that an entry offers as one that can keep claims; nothing when it is another entry. Throws
/// coordination_error (MessageMalformed).
std::optional<claims_member> claimsMemberOf(const spread_entry &entry);

/// What another VM's entry of the spread map means to this VM's decisions; nothing for topics they don't follow.
/// Throws coordination_error (MessageMalformed).
std::optional<entry_event> eventOf(const spread_entry &entry);

} // namespace guavafront
