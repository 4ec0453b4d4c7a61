#include <guavafront/coordination/evacuation/evacuation.h>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Time between two clock readings, which may come from the clocks of two leaders that differ.
std::uint64_t distance(std::uint64_t a, std::uint64_t b)
{
    return a > b ? a - b : b - a;
}

/// Whether the order is a late copy of one applied at the given time. A clock that has been set back by more than
/// orderResendMs doesn't make new orders look like copies.
bool isLateCopy(std::uint64_t appliedMs, std::uint64_t orderedMs)
{
    return appliedMs != 0 && distance(appliedMs, orderedMs) < orderResendMs;
}

} // namespace

bool isDataCentreName(std::string_view name)
{
    return !name.empty() && name.size() <= maxDataCentreNameBytes
           && std::ranges::all_of(name, [](char c) { return c >= ' ' && c < '\x7f'; });
}

const evacuation *findEvacuation(const std::vector<evacuation> &evacuations, std::string_view dataCentre)
{
    const auto found = std::ranges::find(evacuations, dataCentre, &evacuation::dataCentre);
    return found == evacuations.end() ? nullptr : &*found;
}

order_effect effectOf(const std::vector<evacuation> &evacuations, const evacuation_order &order)
{
    const evacuation *known = findEvacuation(evacuations, order.dataCentre);
    const bool inForce = known != nullptr && known->inForce;
    switch (order.action) {
    case evacuation_action::Start:
        if (inForce) {
            return order_effect::InForce;
        }
        return known && isLateCopy(known->startedMs, order.orderedMs) ? order_effect::LateDuplicate
                                                                      : order_effect::Applied;
    case evacuation_action::End:
        if (!inForce) {
            return order_effect::InForce;
        }
        return isLateCopy(known->endedMs, order.orderedMs) ? order_effect::LateDuplicate : order_effect::Applied;
    case evacuation_action::Forget:
        break;
    }
    return known && !inForce ? order_effect::Applied : order_effect::InForce;
}

order_effect applyOrder(std::vector<evacuation> &evacuations, const evacuation_order &order)
{
    const order_effect effect = effectOf(evacuations, order);
    if (effect != order_effect::Applied) {
        return effect;
    }
    const auto place = std::ranges::lower_bound(evacuations, order.dataCentre, {}, &evacuation::dataCentre);
    if (order.action == evacuation_action::Forget) {
        evacuations.erase(place);
        return effect;
    }
    const bool known = place != evacuations.end() && place->dataCentre == order.dataCentre;
    evacuation &record = known ? *place : *evacuations.insert(place, evacuation{.dataCentre = order.dataCentre});
    record.inForce = order.action == evacuation_action::Start;
    (record.inForce ? record.startedMs : record.endedMs) = order.orderedMs;
    return effect;
}

std::vector<std::string> evacuatedDataCentres(const std::vector<evacuation> &evacuations)
{
    std::vector<std::string> names;
    for (const evacuation &each : evacuations) {
        if (each.inForce) {
            names.push_back(each.dataCentre);
        }
    }
    return names;
}

} // namespace guavafront
