#include <guavafront/coordination/homes/homes.h>

#include "coordination/routing/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <utility>

namespace guavafront
{

std::vector<vm_id> homesOf(const fleet_vm &receiver, std::span<const fleet_vm> controls, const home_rule &rule)
{
    std::vector<std::pair<std::uint64_t, const fleet_vm *>> ranked;
    ranked.reserve(controls.size());
    for (const fleet_vm &each : controls) {
        if (each.id != receiver.id) {
            ranked.emplace_back(rendezvousHash(receiver.id.value, each.id.value), &each);
        }
    }
    std::ranges::sort(ranked, std::ranges::greater{}, [](const auto &each) { return each.first; });
    auto place = ranked.begin();
    for (std::size_t count = 0; count < rule.nearHomes; ++count) {
        const auto near = std::find_if(place, ranked.end(), [&receiver](const auto &each) {
            return each.second->dataCentre == receiver.dataCentre;
        });
        if (near == ranked.end()) {
            break;
        }
        std::rotate(place, near, near + 1);
        ++place;
    }
    ranked.resize(std::min(ranked.size(), rule.homes));
    std::vector<vm_id> homes;
    std::ranges::transform(ranked, std::back_inserter(homes), [](const auto &each) { return each.second->id; });
    return homes;
}

std::vector<vm_id> receiversOf(const fleet_vm &self, std::span<const fleet_vm> others, const home_rule &rule,
                               std::size_t place)
{
    std::vector<fleet_vm> controls{self};
    std::ranges::copy_if(others, std::back_inserter(controls), &fleet_vm::isControl);
    std::vector<vm_id> receivers;
    for (const fleet_vm &each : others) {
        const std::vector<vm_id> homes = homesOf(each, controls, rule);
        if (place < homes.size() && homes[place] == self.id) {
            receivers.push_back(each.id);
        }
    }
    return receivers;
}

} // namespace guavafront
