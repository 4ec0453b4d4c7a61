#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace guavafront
{

/// First bytes of a journal file: its format and version.
constexpr std::string_view journalHeader = "GFJOURNAL 1\n";

/// What one look at a journal's bytes has found.
struct journal_content {
    std::vector<std::span<const std::byte>> frames; ///< Payloads in order; views of the bytes.
    std::size_t validBytes = 0; ///< Header and whole frames; what follows is a torn write.
};

/// A frame: marker, payload size, XXH3 of the payload, payload. Each frame is synced before the next one is written.
std::vector<std::byte> encodeFrame(std::span<const std::byte> payload);

/// Frames of a journal file. A frame that fails its check, with none that passes after it, is a write that was never
/// synced. Throws coordination_error: StoreVersionUnknown for another header, StoreCorrupt when a frame that passes
/// follows one that doesn't.
journal_content readJournal(std::span<const std::byte> bytes);

} // namespace guavafront
