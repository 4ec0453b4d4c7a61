#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace guavafront
{

/// Largest number of addresses in an address book: those of the largest control cluster and of some fifty other VMs.
constexpr std::size_t maxBookAddresses = 64;

/// Addresses at which a VM has seen others, kept on its disk for its next start.
struct address_book {
    std::vector<std::string> addresses; ///< "IP:port"; those that were live when the book was written go first.
    bool operator==(const address_book &) const = default; ///< Memberwise equality.
};

/// Returns the book to be written in place of the stored one, or nothing while that one contains the addresses of the
/// live VMs, given most important first. Addresses that are no longer live stay as long as there is room, since a VM
/// that has just started sees the others one by one.
std::optional<address_book> updatedBook(const address_book &stored, std::span<const std::string> live);

} // namespace guavafront
