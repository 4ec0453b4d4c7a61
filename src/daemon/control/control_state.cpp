#include "daemon/control/control_state.h"

#include "wire/cbor_fields.h"
#include "wire/claims_codec.h"
#include "wire/configuration_codec.h"
#include "wire/configuration_history.h"

#include <algorithm>

namespace guavafront
{

namespace
{

constexpr std::uint64_t stateFormatVersion = 1;
/// First byte of a claims command. No CBOR value begins with it, and so no encoded proposal does.
constexpr std::byte claimsCommandMark{0xff};
constexpr std::size_t maxStateBytes = maxConfigurationBytes + maxClaimsViewBytes + 1024;

/// Applies a claims view only if its epoch follows the present one directly. Of two views that were proposed at the
/// same time with the same epoch, the second is dropped.
applied_command applyClaimsCommand(control_state &state, std::span<const std::byte> encoded)
{
    claims_view next = decodeClaimsView(encoded);
    if (next.epoch.value == state.claims.epoch.value + 1) {
        state.claims = std::move(next);
    }
    return {.answer = {result_code::Ok, state.log.current.atRevision, {}}};
}

/// Returns the changes as they are distributed to VMs: a replacement of the whole configuration is reduced to the
/// difference between the configurations before and after.
std::vector<change> changesToDistribute(const configuration &before, const configuration &after,
                                        const std::vector<change> &changes)
{
    const bool replacesAll =
        std::ranges::any_of(changes, [](const change &edit) { return std::holds_alternative<replace_all>(edit); });
    return replacesAll ? std::vector<change>{differenceBetween(before, after)} : changes;
}

} // namespace

std::vector<std::byte> encodeClaimsCommand(const claims_view &next)
{
    std::vector<std::byte> payload{claimsCommandMark};
    const std::vector<std::byte> encoded = encodeClaimsView(next);
    payload.insert(payload.end(), encoded.begin(), encoded.end());
    return payload;
}

applied_command applyCommand(control_state &state, const fleet_secret &secret, std::span<const std::byte> payload)
{
    if (!payload.empty() && payload.front() == claimsCommandMark) {
        return applyClaimsCommand(state, payload.subspan(1));
    }
    const change_proposal proposal = decodeProposal(payload);
    const configuration before = state.log.current;
    applied_command applied{.answer = decide(state.log, proposal)};
    const configuration &after = state.log.current;
    if (after.atRevision > before.atRevision) {
        const std::vector<change> changes = changesToDistribute(before, after, proposal.request.changes);
        const history_digest digest = nextDigest(secret, state.digest, after.atRevision, changes);
        applied.accepted = true;
        if (encodeChanges(changes).size() <= maxChangesBytes) {
            applied.delta = configuration_delta{after.atRevision, state.digest, digest, changes};
        }
        state.digest = digest;
    }
    return applied;
}

std::vector<std::byte> encodeControlState(const control_state &state)
{
    return encodeCbor(
        nlohmann::json::array({stateFormatVersion, cborBytes(state.digest), cborBytes(encodeChangeLog(state.log)),
                               cborBytes(encodeClaimsView(state.claims))}));
}

control_state decodeControlState(std::span<const std::byte> encoded)
{
    control_state state;
    if (encoded.empty()) {
        return state;
    }
    const nlohmann::json value = parseCbor(encoded, maxStateBytes);
    cbor_fields fields(value, "control state", 4);
    fields.checkVersion(stateFormatVersion);
    fields.bytesInto(state.digest);
    state.log = decodeChangeLog(fields.bytes(maxConfigurationBytes));
    state.claims = decodeClaimsView(fields.bytes(maxClaimsViewBytes));
    return state;
}

} // namespace guavafront
