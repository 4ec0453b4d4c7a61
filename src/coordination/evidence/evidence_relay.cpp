#include <guavafront/coordination/evidence/evidence_relay.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavafront
{

void updateFleet(evidence_relay &state, std::span<const fleet_vm> others)
{
    state.hubs.clear();
    for (const fleet_vm &each : others) {
        if (each.isControl) {
            state.hubs.push_back(each.id);
        }
    }
    for (std::size_t copy = 0; copy < evidenceCopies; ++copy) {
        // Where there are too few control VMs for a home of each copy, one of them publishes several.
        const std::size_t place = std::min(copy, state.hubs.size());
        state.receivers[copy] = receiversOf(state.self, others, state.rule, place);
        std::erase_if(state.receivers[copy],
                      [&state](vm_id each) { return std::ranges::find(state.hubs, each) != state.hubs.end(); });
    }
}

send_evidence receiveEvidence(evidence_relay &state, const evidence_message &message, instant now)
{
    const std::size_t copy = std::min<std::size_t>(message.copy, evidenceCopies - 1);
    std::ranges::copy(message.reports, std::back_inserter(state.unpublished[copy]));
    state.publishAt = std::min(state.publishAt, std::max(now, state.publishedAt + state.gatherTime));
    send_evidence relayed;
    if (message.stage == evidence_stage::Reported) {
        relayed.to = state.hubs;
        relayed.message = message;
        relayed.message.stage = evidence_stage::Gathered;
    }
    return relayed;
}

std::vector<send_evidence> takeDueEvidence(evidence_relay &state, instant now)
{
    std::vector<send_evidence> due;
    if (now < state.publishAt) {
        return due;
    }
    state.publishAt = instant::max();
    state.publishedAt = now;
    for (std::size_t copy = 0; copy < evidenceCopies; ++copy) {
        const std::vector<observed_report> reports = std::exchange(state.unpublished[copy], {});
        std::span<const observed_report> left = reports;
        while (!left.empty() && !state.receivers[copy].empty()) {
            const std::span part = left.first(std::min(left.size(), maxReportsPerMessage));
            left = left.subspan(part.size());
            due.push_back({state.receivers[copy],
                           {.stage = evidence_stage::Published,
                            .copy = static_cast<std::uint8_t>(copy),
                            .reports = {part.begin(), part.end()}}});
        }
    }
    return due;
}

} // namespace guavafront
