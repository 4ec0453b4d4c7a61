#include "wire/deflate.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <zlib.h>

#include <algorithm>
#include <array>

namespace guavafront
{

namespace
{

Bytef *zlibBytes(const std::byte *bytes)
{
    return const_cast<Bytef *>(reinterpret_cast<const Bytef *>(bytes));
}

/// Owns a zlib decompression stream.
class inflater
{
public:
    inflater()
    {
        inflateInit(&stream);
    }
    ~inflater()
    {
        inflateEnd(&stream);
    }
    inflater(const inflater &) = delete;
    inflater &operator=(const inflater &) = delete;

    z_stream stream{}; ///< State of the zlib library.
};

} // namespace

std::vector<std::byte> deflated(std::span<const std::byte> plain)
{
    uLongf size = compressBound(plain.size());
    std::vector<std::byte> compressed(size);
    compress2(zlibBytes(compressed.data()), &size, zlibBytes(plain.data()), plain.size(), Z_BEST_SPEED);
    compressed.resize(size);
    return compressed;
}

std::vector<std::byte> inflated(std::span<const std::byte> compressed, std::size_t maxBytes)
{
    constexpr std::size_t blockBytes = 16'384;
    inflater state;
    state.stream.next_in = zlibBytes(compressed.data());
    state.stream.avail_in = static_cast<uInt>(compressed.size());
    std::vector<std::byte> plain;
    std::array<std::byte, blockBytes> block{};
    int result = Z_OK;
    while (result == Z_OK) {
        state.stream.next_out = zlibBytes(block.data());
        state.stream.avail_out = static_cast<uInt>(block.size());
        result = inflate(&state.stream, Z_NO_FLUSH);
        plain.insert(plain.end(), block.begin(), block.end() - state.stream.avail_out);
        if (plain.size() > maxBytes) {
            throw coordination_error(result_code::MessageTooLarge, "decompressed content exceeds the size limit");
        }
    }
    if (result != Z_STREAM_END) {
        throw coordination_error(result_code::MessageMalformed, "content is not in the zlib format");
    }
    return plain;
}

} // namespace guavafront
