#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/replication/replica.h>

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

namespace guavafront
{

/// Version of the replication messages and of the frames of the replica's journal; it is the first field of each.
constexpr std::uint64_t replicationFormatVersion = 1;
/// Largest replication message, in bytes: an append_request with one command of the largest size.
constexpr std::size_t maxReplicationMessageBytes = std::size_t{1} << 20;
/// Largest frame of the journal, in bytes: a whole snapshot with the records after it.
constexpr std::size_t maxFrameBytes = std::size_t{256} << 20;

/// Encodes a message between control VMs as CBOR.
byte_buffer encodeReplicationMessage(const replication_message &message);

/// Decodes what encodeReplicationMessage() wrote. All decoders in this header throw coordination_error
/// (MessageTooLarge, MessageMalformed, MessageUnknown).
replication_message decodeReplicationMessage(std::span<const std::byte> encoded);

/// One write to a replica's store on disk.
using storage_write = std::variant<write_vote, append_records, remove_records, write_snapshot>;

/// Encodes writes as the CBOR of one journal frame. They are synced to disk together.
byte_buffer encodeWrites(std::span<const storage_write> writes);

/// Decodes what encodeWrites() wrote.
std::vector<storage_write> decodeWrites(std::span<const std::byte> encoded);

/// Encodes the whole content of a replica's store and the identifier of its VM as CBOR.
byte_buffer encodeStoredState(vm_id self, const stored_state &state);

/// Content of a replica's store and the VM that it belongs to.
struct identified_state {
    vm_id self; ///< Identifier of the VM.
    stored_state state; ///< State with which the replica starts.
};

/// Decodes what encodeStoredState() wrote.
identified_state decodeStoredState(std::span<const std::byte> encoded);

} // namespace guavafront
