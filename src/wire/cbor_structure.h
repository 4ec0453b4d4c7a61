#pragma once

#include <cstddef>
#include <span>

namespace guavafront
{

/// Checks, without recursion or allocation by claimed lengths, that the bytes are one CBOR item (RFC 8949) of arrays
/// and plain values with definite lengths, nested at most maxDepth deep. The JSON library's parser recurses into chunks
/// of indefinite strings, so bytes from outside come here first. Throws coordination_error (MessageMalformed).
void checkCborStructure(std::span<const std::byte> encoded, std::size_t maxDepth);

} // namespace guavafront
