#pragma once

#include <guavafront/coordination/core/identifiers.h>

#include <cstdint>
#include <string>

namespace guavafront
{

/// Status of a VM as the membership knows it. For one incarnation, a later enumerator overrides an earlier one.
enum class member_status : std::uint8_t {
    Alive, ///< The VM answers probes.
    Suspect, ///< The VM missed probes; it can still refute this with a higher incarnation.
    Dead, ///< The VM didn't refute in time; a higher incarnation makes it alive again.
    Left, ///< The VM announced that it stops.
};

/// Bits of member_record::roles: the jobs of a VM.
enum member_role : std::uint8_t {
    EntryRole = 1, ///< Entry VM: serves callers.
    ControlRole = 2, ///< Control VM: replicates the configuration.
};

/// What VMs tell each other about one VM.
struct member_record {
    vm_id id; ///< Identifies one run of the VM's process.
    std::uint32_t incarnation = 0; ///< Raised only by the VM itself, to refute a suspicion.
    member_status status = member_status::Alive; ///< Status at this incarnation.
    std::string address; ///< "IP:port" at which the VM accepts links from peers.
    std::string dataCentre; ///< Data centre, from the VM's settings.
    std::uint8_t roles = 0; ///< Bits of member_role.

    /// Memberwise equality.
    bool operator==(const member_record &) const = default;
};

/// Whether an update of a VM's record overrides the record that is known.
inline bool overrides(const member_record &update, const member_record &known)
{
    return update.incarnation != known.incarnation ? update.incarnation > known.incarnation
                                                   : update.status > known.status;
}

/// A member record as gossip messages carry it.
struct member_update {
    member_record record; ///< The record itself.
    vm_id accuser; ///< For status Suspect: the VM whose own probe went unanswered; otherwise 0.

    /// Memberwise equality.
    bool operator==(const member_update &) const = default;
};

} // namespace guavafront
