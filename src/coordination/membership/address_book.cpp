#include <guavafront/coordination/membership/address_book.h>

#include <algorithm>

namespace guavafront
{

std::optional<address_book> updatedBook(const address_book &stored, std::span<const std::string> live)
{
    const auto isIn = [](std::span<const std::string> addresses, const std::string &address) {
        return std::ranges::find(addresses, address) != addresses.end();
    };
    const std::span<const std::string> wanted = live.first(std::min(live.size(), maxBookAddresses));
    if (std::ranges::all_of(wanted, [&](const std::string &each) { return isIn(stored.addresses, each); })) {
        return std::nullopt;
    }
    address_book updated{{wanted.begin(), wanted.end()}};
    for (const std::string &each : stored.addresses) {
        if (updated.addresses.size() < maxBookAddresses && !isIn(updated.addresses, each)) {
            updated.addresses.push_back(each);
        }
    }
    return updated;
}

} // namespace guavafront
