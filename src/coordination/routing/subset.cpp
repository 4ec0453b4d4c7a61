#include <guavafront/coordination/routing/subset.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace guavafront
{

std::vector<instance_id> selectSubset(vm_id self, std::span<const instance_id> instances, std::uint32_t limit)
{
    if (instances.size() <= limit) {
        return {instances.begin(), instances.end()};
    }
    struct ranked {
        std::uint64_t hash; ///< Rendezvous hash of VM and instance.
        std::size_t position; ///< Position in the given instances.
    };
    std::vector<ranked> order;
    order.reserve(instances.size());
    for (std::size_t position = 0; position < instances.size(); ++position) {
        const std::uint64_t value = instances[position].value;
        order.push_back({XXH3_64bits_withSeed(&value, sizeof value, self.value), position});
    }
    const auto cut = order.begin() + limit;
    std::ranges::nth_element(order, cut, std::ranges::greater(), &ranked::hash);
    order.resize(limit);
    std::ranges::sort(order, {}, &ranked::position);
    std::vector<instance_id> chosen;
    chosen.reserve(limit);
    for (const ranked &entry : order) {
        chosen.push_back(instances[entry.position]);
    }
    return chosen;
}

} // namespace guavafront
