#pragma once

#include <cstddef>
#include <span>

namespace guavafront
{

/// Checks that the bytes are exactly one CBOR item (RFC 8949) that consists of arrays and plain values, all of definite
/// length and nested at most maxDepth deep. Maps, tags and indefinite lengths are errors. The check neither recurses
/// nor allocates memory for the lengths that the input states. Input from outside must pass it before the JSON
/// library's parser reads it, because that parser recurses into the chunks of indefinite strings. Throws
/// coordination_error (MessageMalformed).
void checkCborStructure(std::span<const std::byte> encoded, std::size_t maxDepth);

} // namespace guavafront
