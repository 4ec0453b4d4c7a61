#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <string>

namespace guavafront
{

/// What the fleet holds of a VM. At one incarnation a later enumerator overrides an earlier one.
enum class member_status : std::uint8_t {
    Alive, ///< Answers probes.
    Suspect, ///< Missed probes; may still refute by a higher incarnation.
    Dead, ///< Did not refute in time; a higher incarnation brings it back.
    Left, ///< Said that it stops.
};

/// Bits of member_record::roles.
enum member_role : std::uint8_t {
    EntryRole = 1, ///< Serves callers.
    ControlRole = 2, ///< Keeps the configuration.
};

/// One VM as the fleet tells of it.
struct member_record {
    vm_id id; ///< This life of the VM's process.
    std::uint32_t incarnation = 0; ///< Raised only by the VM itself, to refute.
    member_status status = member_status::Alive; ///< What the fleet holds of it.
    std::string address; ///< "IP:port" of its links.
    std::string dataCentre; ///< From its settings.
    std::uint8_t roles = 0; ///< Bits of member_role.

    /// Memberwise equality.
    bool operator==(const member_record &) const = default;
};

/// Whether news of a VM overrides what is known of it.
inline bool overrides(const member_record &update, const member_record &known)
{
    return update.incarnation != known.incarnation ? update.incarnation > known.incarnation
                                                   : update.status > known.status;
}

/// A record on its way between VMs.
struct member_update {
    member_record record; ///< The news.
    vm_id accuser; ///< For Suspect: a VM that missed an answer itself; else 0.

    /// Memberwise equality.
    bool operator==(const member_update &) const = default;
};

} // namespace guavafront
