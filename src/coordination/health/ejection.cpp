#include <guavafront/coordination/health/ejection.h>

#include <algorithm>
#include <tuple>

namespace guavafront
{

namespace
{

constexpr std::uint32_t wholePercent = 100;

} // namespace

std::uint32_t ejectableSlots(std::uint32_t totalSlots, std::uint32_t floorPercent)
{
    const std::uint32_t ejectablePercent = wholePercent - std::min(floorPercent, wholePercent);
    return static_cast<std::uint32_t>(std::uint64_t{totalSlots} * ejectablePercent / wholePercent);
}

std::vector<instance_id> grantEjections(std::span<const ejection_request> requests, std::uint32_t totalSlots,
                                        std::uint32_t floorPercent)
{
    std::vector<ejection_request> ordered(requests.begin(), requests.end());
    std::ranges::sort(
        ordered, {}, [](const ejection_request &request) { return std::tuple(request.basis, request.instance.value); });
    std::uint32_t slotsLeft = ejectableSlots(totalSlots, floorPercent);
    std::vector<instance_id> granted;
    for (const ejection_request &request : ordered) {
        if (request.slots > slotsLeft) {
            continue;
        }
        slotsLeft -= request.slots;
        if (request.appliesHere) {
            granted.push_back(request.instance);
        }
    }
    std::ranges::sort(granted, {}, &instance_id::value);
    return granted;
}

} // namespace guavafront
