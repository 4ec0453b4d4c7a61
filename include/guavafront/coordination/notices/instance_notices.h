#pragma once

#include <guavafront/coordination/core/identifiers.h>
#include <guavafront/coordination/core/time.h>
#include <guavafront/coordination/evacuation/evacuation.h>
#include <guavafront/coordination/registry/registry.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavafront
{

/// What an upstream instance said of itself in its answers.
struct instance_notice {
    bool leaving = false; ///< It leaves, and gets no further request from this VM.
    instant pausedUntil{}; ///< It wants no request from this VM before; the beginning of time when it never said so.
    instant listedAt{}; ///< When it was last announced to the fleet, or said something.
};

/// A data centre whose evacuation was revoked.
struct reopened_data_centre {
    std::string dataCentre; ///< Name of the data centre.
    std::uint64_t endedMs = 0; ///< Time of the revocation by the control leader's clock; tells revocations apart.
    instant since{}; ///< When this VM learned that it is open again.
};

/// What instances said of themselves in their answers, and the data centres that the operator has evacuated. The word
/// holds for one incarnation, which has an instance_id of its own, whatever the registry says of it: announcements
/// travel by another way and may be late, lost or withdrawn.
struct instance_notices {
    std::unordered_map<instance_id, instance_notice> byInstance; ///< Instances that said something.
    /// Evacuated data centres, ordered. Kept here so that every check whether an instance is usable includes them.
    std::vector<std::string> evacuatedDataCentres;
    /// Data centres that are open again since a short time ago, ordered by name.
    std::vector<reopened_data_centre> reopenedDataCentres;
};

/// Records that an instance leaves, as it told this VM or another one. Returns whether that is news to this VM.
bool recordLeaving(instance_notices &notices, instance_id instance, instant now);

/// Records that an instance wants no request from this VM for so long. It ends a longer pause no sooner. Returns
/// whether the instance wasn't paused already.
bool recordPause(instance_notices &notices, instance_id instance, duration pause, instant now);

/// Whether the instance has said that it leaves.
bool hasSaidLeaving(const instance_notices &notices, instance_id instance);

/// End of the instance's pause; in the past, or the beginning of time, when it isn't paused.
instant pausedUntil(const instance_notices &notices, instance_id instance);

/// Replaces the evacuated data centres by those of the configuration in force, and notes which ones are open again.
void setEvacuations(instance_notices &notices, const std::vector<evacuation> &evacuations, instant now);

/// Whether the operator has evacuated the data centre.
bool isEvacuated(const instance_notices &notices, std::string_view dataCentre);

/// When this VM learned that the data centre's evacuation was revoked; nothing when it wasn't, or is evacuated again.
/// Until an announcement that arrives later says otherwise, the data centre's instances count as cold.
std::optional<instant> reopenedAt(const instance_notices &notices, std::string_view dataCentre);

/// Whether the instance is announced as serving and has not said that it leaves, wherever it runs.
bool isServing(const instance_notices &notices, const registered_instance &instance);

/// Whether the instance is announced as serving, has not said that it leaves and is in no evacuated data centre. It may
/// be paused.
bool isUsable(const instance_notices &notices, const registered_instance &instance);

/// Whether a new request may be sent to the instance now: it is usable and not paused.
bool isAvailable(const instance_notices &notices, const registered_instance &instance, instant now);

/// Adds the paused instances to the list.
void appendPaused(const instance_notices &notices, instant now, std::vector<instance_id> &to);

/// Forgets the instances that have not been announced for long, so that the size is bounded.
void removeOldNotices(instance_notices &notices, const registry &known, instant now);

} // namespace guavafront
