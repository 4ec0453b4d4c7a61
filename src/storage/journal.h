#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavafront
{

/// First bytes of a journal file, which identify the format and its version.
constexpr std::string_view journalHeader = "GFJOURNAL 1\n";

/// Frames found in the bytes of a journal file.
struct journal_content {
    std::vector<std::span<const std::byte>> frames; ///< Payloads in file order; views into the bytes that were read.
    std::size_t validBytes = 0; ///< Size of the header and all valid frames; bytes after them are an incomplete write.
};

/// Encodes a frame: marker, payload size (4 bytes), XXH3 checksum of the payload (8 bytes), payload; numbers are little
/// endian. A frame must be synced before the next one is written, because readJournal() relies on that order.
std::vector<std::byte> encodeFrame(std::span<const std::byte> payload);

/// Finds the frames in the bytes of a journal file. An invalid frame that no valid frame follows is a write that was
/// interrupted before it was synced, and is left out. An invalid frame with a valid one after it had been synced, so
/// the file is damaged. Throws coordination_error: StoreVersionUnknown for another header, StoreCorrupt for a damaged
/// file.
journal_content readJournal(std::span<const std::byte> bytes);

} // namespace guavafront
