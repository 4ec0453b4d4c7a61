#include <guavafront/coordination/claims/claims.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace guavafront
{

namespace
{

/// Data shared by the functions that handle one event.
struct claims_context {
    claims &state; ///< State of this VM.
    instant now; ///< Time of the event.
    /// Effects that step() returns: messages to other VMs and results of claims.
    std::vector<claimant_effect> &effects;
    std::deque<claim_message> selfMessages; ///< Messages of this VM to itself that are not delivered yet.
};

void routeEffects(claims_context &context, std::vector<claimant_effect> effects)
{
    for (claimant_effect &each : effects) {
        auto *send = std::get_if<send_claim_message>(&each);
        if (send && send->to == context.state.claimantSide.self) {
            context.selfMessages.push_back(std::move(send->message));
        } else {
            context.effects.push_back(std::move(each));
        }
    }
}

void routeEffects(claims_context &context, std::vector<send_claim_message> effects)
{
    std::vector<claimant_effect> wrapped;
    wrapped.reserve(effects.size());
    for (send_claim_message &each : effects) {
        wrapped.emplace_back(std::move(each));
    }
    routeEffects(context, std::move(wrapped));
}

void deliver(claims_context &context, vm_id from, const claim_reply &message)
{
    std::vector<claimant_effect> effects;
    receive(context.state.claimantSide, from, message, context.now, effects);
    routeEffects(context, std::move(effects));
}

void deliver(claims_context &context, vm_id from, const claim_acknowledged &message)
{
    receive(context.state.claimantSide, from, message);
}

template<class home_message>
void deliver(claims_context &context, vm_id from, const home_message &message)
{
    std::vector<send_claim_message> effects;
    receive(context.state.homeSide, from, message, context.now, effects);
    routeEffects(context, std::move(effects));
}

void handle(claims_context &context, const start_claim &event)
{
    std::vector<claimant_effect> effects;
    startClaim(context.state.claimantSide, event, context.now, effects);
    routeEffects(context, std::move(effects));
}

void handle(claims_context &context, const end_claim &event)
{
    std::vector<claimant_effect> effects;
    endClaim(context.state.claimantSide, event, context.now, effects);
    routeEffects(context, std::move(effects));
}

void handle(claims_context &context, const abandon_claim &event)
{
    std::vector<claimant_effect> effects;
    abandonClaim(context.state.claimantSide, event.id, context.now, effects);
    routeEffects(context, std::move(effects));
}

void handle(claims_context &context, const claim_message_received &event)
{
    std::visit([&context, &event](const auto &message) { deliver(context, event.from, message); }, event.message);
}

void handle(claims_context &context, const claims_view_changed &event)
{
    std::vector<send_claim_message> homeEffects;
    installView(context.state.homeSide, event.view, context.now, homeEffects);
    routeEffects(context, std::move(homeEffects));
    std::vector<claimant_effect> effects;
    installView(context.state.claimantSide, context.state.homeSide.placement, context.now, effects);
    routeEffects(context, std::move(effects));
}

void handle(claims_context &context, const claims_time_passed & /*event*/)
{
    std::vector<send_claim_message> homeEffects;
    onTime(context.state.homeSide, context.now, homeEffects);
    routeEffects(context, std::move(homeEffects));
    std::vector<claimant_effect> effects;
    onTime(context.state.claimantSide, context.now, effects);
    routeEffects(context, std::move(effects));
}

} // namespace

claims makeClaims(vm_id self, std::uint64_t life, const claimant_options &askingOptions,
                  const claims_home_options &homeOptions)
{
    claims state;
    state.claimantSide.self = self;
    state.claimantSide.options = askingOptions;
    state.claimantSide.lastAttempt = life; // Attempt numbers must differ from those of earlier lives.
    state.homeSide.self = self;
    state.homeSide.life = life;
    state.homeSide.options = homeOptions;
    return state;
}

void step(claims &state, const claims_event &event, instant now, std::vector<claimant_effect> &effects)
{
    claims_context context{.state = state, .now = now, .effects = effects, .selfMessages = {}};
    std::visit([&context](const auto &each) { handle(context, each); }, event);
    while (!context.selfMessages.empty()) {
        const claim_message message = std::move(context.selfMessages.front());
        context.selfMessages.pop_front();
        std::visit([&context](const auto &each) { deliver(context, context.state.claimantSide.self, each); }, message);
    }
}

std::optional<instant> nextWake(const claims &state)
{
    const std::optional<instant> asking = nextWake(state.claimantSide);
    const std::optional<instant> home = nextWake(state.homeSide);
    return asking && home ? std::min(*asking, *home) : asking ? asking : home;
}

} // namespace guavafront
