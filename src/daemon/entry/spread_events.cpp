#include "daemon/entry/spread_events.h"

#include "wire/health_codec.h"

namespace guavafront
{

namespace
{

entry_event healthEvent(const spread_entry &entry)
{
    if (entry.removed) {
        return health_report_lost{entry.key.owner};
    }
    return health_reported{entry.key.owner, decodeHealthReport(entry.payload)};
}

std::optional<entry_event> quarantineEvent(const spread_entry &entry)
{
    if (entry.removed) {
        return std::nullopt; // What was learnt of a death outlives the VM that saw it.
    }
    if (entry.key.name.starts_with(releasePrefix)) {
        const quarantine_release release = decodeRelease(entry.payload);
        return release_learned{release.request, release.forgiven};
    }
    return death_learned{decodeDeath(entry.payload)};
}

} // namespace

std::optional<entry_event> eventOf(const spread_entry &entry)
{
    if (entry.key.topic == spread_topic::Health) {
        return healthEvent(entry);
    }
    if (entry.key.topic == spread_topic::Quarantine) {
        return quarantineEvent(entry);
    }
    return std::nullopt;
}

} // namespace guavafront
