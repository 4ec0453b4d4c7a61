#pragma once

#include <guavafront/coordination/entry/entry_event.h>
#include <guavafront/coordination/spread/spread.h>

#include <optional>

namespace guavafront
{

/// Event of another VM's entry on the topics Health and Quarantine; nothing when it concerns no decision. Throws
/// coordination_error (MessageTooLarge, MessageMalformed).
std::optional<entry_event> eventOf(const spread_entry &entry);

} // namespace guavafront
