#include "storage/journal.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <xxhash.h>

namespace guavafront
{

namespace
{

constexpr std::array frameMarker{std::byte{0xf7}, std::byte{'G'}, std::byte{'F'}, std::byte{0x9e}};
constexpr std::size_t sizeBytes = 4;
constexpr std::size_t checksumBytes = 8;
constexpr std::size_t frameHeaderBytes = frameMarker.size() + sizeBytes + checksumBytes;

void appendLittleEndian(std::vector<std::byte> &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = 0; i < bytes; ++i) {
        out.push_back(static_cast<std::byte>(value >> (8 * i)));
    }
}

std::uint64_t readLittleEndian(std::span<const std::byte> bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        value |= std::to_integer<std::uint64_t>(bytes[i]) << (8 * i);
    }
    return value;
}

/// Returns the payload of the frame that begins at the first byte, or nothing when the frame is incomplete or its
/// checksum is wrong.
std::optional<std::span<const std::byte>> parseFrame(std::span<const std::byte> bytes)
{
    if (bytes.size() < frameHeaderBytes || !std::ranges::equal(bytes.first(frameMarker.size()), frameMarker)) {
        return std::nullopt;
    }
    const std::uint64_t size = readLittleEndian(bytes.subspan(frameMarker.size(), sizeBytes));
    const std::uint64_t checksum = readLittleEndian(bytes.subspan(frameMarker.size() + sizeBytes, checksumBytes));
    const std::span rest = bytes.subspan(frameHeaderBytes);
    if (size > rest.size() || XXH3_64bits(rest.data(), size) != checksum) {
        return std::nullopt;
    }
    return rest.first(size);
}

/// Returns whether a complete frame with a correct checksum begins anywhere in the bytes.
bool containsValidFrame(std::span<const std::byte> bytes)
{
    while (!bytes.empty()) {
        const auto found = std::search(bytes.begin(), bytes.end(), frameMarker.begin(), frameMarker.end());
        bytes = bytes.subspan(static_cast<std::size_t>(found - bytes.begin()));
        if (parseFrame(bytes)) {
            return true;
        }
        bytes = bytes.subspan(std::min<std::size_t>(1, bytes.size()));
    }
    return false;
}

} // namespace

std::vector<std::byte> encodeFrame(std::span<const std::byte> payload)
{
    std::vector<std::byte> frame(frameMarker.begin(), frameMarker.end());
    frame.reserve(frameHeaderBytes + payload.size());
    appendLittleEndian(frame, payload.size(), sizeBytes);
    appendLittleEndian(frame, XXH3_64bits(payload.data(), payload.size()), checksumBytes);
    frame.insert(frame.end(), payload.begin(), payload.end());
    return frame;
}

journal_content readJournal(std::span<const std::byte> bytes)
{
    const std::span header = std::as_bytes(std::span(journalHeader));
    if (bytes.size() < header.size() || !std::ranges::equal(bytes.first(header.size()), header)) {
        throw coordination_error(result_code::StoreVersionUnknown, "the journal's header is not of a known version");
    }
    journal_content content;
    content.validBytes = header.size();
    while (const auto payload = parseFrame(bytes.subspan(content.validBytes))) {
        content.frames.push_back(*payload);
        content.validBytes += frameHeaderBytes + payload->size();
    }
    if (containsValidFrame(bytes.subspan(content.validBytes))) {
        throw coordination_error(result_code::StoreCorrupt,
                                 "the journal is damaged at byte " + std::to_string(content.validBytes));
    }
    return content;
}

} // namespace guavafront
