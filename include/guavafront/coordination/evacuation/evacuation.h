#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Latest accepted orders about one data centre. All times are Unix milliseconds by the clock of the control leader
/// that took the order, and never change until the next order that is applied.
struct evacuation {
    std::string dataCentre; ///< Name of the data centre.
    bool inForce = false; ///< The data centre is evacuated; false once the order was revoked.
    std::uint64_t startedMs = 0; ///< Time of the last order to evacuate that was applied.
    std::uint64_t endedMs = 0; ///< Time of the last revocation that was applied; 0 before the first.

    /// Memberwise equality.
    bool operator==(const evacuation &) const = default;
};

/// What an order asks for.
enum class evacuation_action : std::uint8_t {
    Start, ///< Send nothing more to the data centre's instances.
    End, ///< Revoke the evacuation.
    Forget, ///< Remove the times of a revoked evacuation, which the control leader does some time after it.
};

/// Order about one data centre. Orders carry no number, so the time tells a late duplicate from a new order.
struct evacuation_order {
    std::string dataCentre; ///< Name of the data centre.
    evacuation_action action = evacuation_action::Start; ///< What is ordered.
    std::uint64_t orderedMs = 0; ///< When the control leader took the order, in Unix milliseconds by its clock.

    /// Memberwise equality.
    bool operator==(const evacuation_order &) const = default;
};

/// Effect of an order.
enum class order_effect : std::uint8_t {
    Applied, ///< The state has changed.
    InForce, ///< What was ordered was in force already.
    LateDuplicate, ///< The order repeats an earlier one that the opposite one has replaced since.
};

/// Time in milliseconds for which operators resend an order that got no clear answer. An order that repeats one applied
/// less than this before, with the opposite one applied in between, is a late copy of it.
constexpr std::uint64_t orderResendMs = 4'000;
/// Maximum length of a data centre's name in bytes.
constexpr std::size_t maxDataCentreNameBytes = 64;
/// Maximum number of data centres with an evacuation that is in force or not forgotten yet.
constexpr std::size_t maxEvacuations = 256;

/// Whether the text can be the name of a data centre in an order: 1 to maxDataCentreNameBytes printable ASCII
/// characters.
bool isDataCentreName(std::string_view name);

/// Effect that applyOrder() would have.
order_effect effectOf(const std::vector<evacuation> &evacuations, const evacuation_order &order);

/// Applies an order to the list, which is ordered by data centre. The result depends on the list and the order alone,
/// so that all replicas decide alike.
order_effect applyOrder(std::vector<evacuation> &evacuations, const evacuation_order &order);

/// The record of a data centre; null when it has none.
const evacuation *findEvacuation(const std::vector<evacuation> &evacuations, std::string_view dataCentre);

/// Names of the evacuated data centres, ordered.
std::vector<std::string> evacuatedDataCentres(const std::vector<evacuation> &evacuations);

} // namespace guavafront
