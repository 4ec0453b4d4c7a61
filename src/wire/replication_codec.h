#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/replication/replica.h>

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// Version of the replication messages and of the journal's frames; the first field of each.
constexpr std::uint64_t replicationFormatVersion = 1;
/// Largest replication message: one append with one command of the largest size.
constexpr std::size_t maxReplicationMessageBytes = std::size_t{1} << 20;
/// Largest frame of the journal: a whole snapshot with the records that are kept.
constexpr std::size_t maxFrameBytes = std::size_t{256} << 20;

/// CBOR of a message between control VMs.
byte_buffer encodeReplicationMessage(const replication_message &message);

/// The message. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
replication_message decodeReplicationMessage(std::span<const std::byte> encoded);

/// One write of a replica's store.
using storage_write = std::variant<write_vote, append_records, remove_records, write_snapshot>;

/// CBOR of writes that are synced together.
byte_buffer encodeWrites(std::span<const storage_write> writes);

/// The writes. Throws coordination_error as above.
std::vector<storage_write> decodeWrites(std::span<const std::byte> encoded);

/// CBOR of all that a replica's store holds, with the identity of its VM.
byte_buffer encodeStoredState(vm_id self, const stored_state &state);

/// A VM's identity and stored state.
struct identified_state {
    vm_id self; ///< Identity of the VM.
    stored_state state; ///< What the replica starts from.
};

/// The stored state. Throws coordination_error as above.
identified_state decodeStoredState(std::span<const std::byte> encoded);

} // namespace guavafront
