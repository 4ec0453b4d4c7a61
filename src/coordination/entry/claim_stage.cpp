#include "coordination/entry/entry_step.h"

#include <variant>

namespace guavafront
{

namespace
{

/// Whether the request needs a claim of its idempotency key. Repeatable requests don't, and keys are only valid within
/// an account.
bool needsClaim(const exchange &request)
{
    return !request.mayBeRepeated && !request.idempotencyKey.empty() && request.accountId != account_id{};
}

/// Handles the decision on a claim. A request that may run is left in its stage; the calling function continues it.
stage_verdict applyVerdict(step_context &context, exchange &request, const claim_resolved &resolved)
{
    switch (resolved.decision) {
    case claim_resolved::verdict::Run:
        request.claimed = true;
        return stage_verdict::Continue;
    case claim_resolved::verdict::Replay:
        replay(context, request, resolved.answer);
        return stage_verdict::Ended;
    case claim_resolved::verdict::Refuse:
        break;
    }
    return refuse(context, request, resolved.reason.code, resolved.reason.ran, resolved.reason.retryAfter);
}

/// Continues a request that waited for the decision on its claim.
void resume(step_context &context, const claim_resolved &resolved)
{
    const auto found = context.state.exchanges.find(resolved.id);
    if (found == context.state.exchanges.end()) {
        return;
    }
    exchange &request = found->second;
    if (applyVerdict(context, request, resolved) == stage_verdict::Continue) {
        request.stage = exchange_stage::Admit;
        advance(context, request);
    }
}

/// Passes an event to the claims, emits their messages and returns their decisions.
std::vector<claim_resolved> runClaims(step_context &context, const claims_event &event)
{
    std::vector<claimant_effect> effects;
    step(context.state.idempotencyClaims, event, context.now, effects);
    std::vector<claim_resolved> decided;
    for (claimant_effect &each : effects) {
        if (auto *message = std::get_if<send_claim_message>(&each)) {
            context.effects.emplace_back(std::move(*message));
        } else {
            decided.push_back(std::move(std::get<claim_resolved>(each)));
        }
    }
    return decided;
}

} // namespace

stage_verdict claimIdempotencyKey(step_context &context, exchange &request)
{
    if (!needsClaim(request) || request.claimed) {
        return stage_verdict::Continue;
    }
    const start_claim event{.id = request.id,
                            .key = makeClaimKey(request.accountId, request.idempotencyKey),
                            .digest = request.digest,
                            .deadline = request.deadline};
    const std::vector<claim_resolved> decided = runClaims(context, event);
    // Starting a claim can only decide that claim, so a decision belongs to this request.
    return decided.empty() ? stage_verdict::Park : applyVerdict(context, request, decided.front());
}

void concludeClaim(step_context &context, const exchange &request)
{
    if (request.claimed) {
        end_claim ended{.id = request.id, .mayHaveRun = request.mayHaveRun, .answer = {}};
        if (request.mayHaveRun && !request.answer.empty()) {
            ended.answer = request.answer;
        }
        runClaims(context, ended);
    } else if (request.stage == exchange_stage::Claim) {
        runClaims(context, abandon_claim{request.id});
    }
}

void updateClaims(step_context &context, const claims_event &event)
{
    for (const claim_resolved &each : runClaims(context, event)) {
        resume(context, each);
    }
}

} // namespace guavafront
