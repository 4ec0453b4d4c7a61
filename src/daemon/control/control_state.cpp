#include "daemon/control/control_state.h"

#include "wire/cbor_fields.h"
#include "wire/claims_codec.h"
#include "wire/configuration_codec.h"
#include "wire/configuration_history.h"

namespace guavafront
{

namespace
{

constexpr std::uint64_t stateFormatVersion = 1;
/// First byte of a claims command; no CBOR value begins with it, so that no proposal does.
constexpr std::byte claimsCommandMark{0xff};
constexpr std::size_t maxStateBytes = maxConfigurationBytes + maxClaimsViewBytes + 1024;

/// Views follow each other without a gap; one that was proposed beside another is dropped.
applied_command applyClaimsCommand(control_state &state, std::span<const std::byte> encoded)
{
    claims_view next = decodeClaimsView(encoded);
    if (next.epoch.value == state.claims.epoch.value + 1) {
        state.claims = std::move(next);
    }
    return {{result_code::Ok, state.log.value.current, {}}, std::nullopt};
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
    const revision before = state.log.value.current;
    applied_command applied{decide(state.log, proposal), std::nullopt};
    const revision after = state.log.value.current;
    if (after > before) {
        const history_digest digest = nextDigest(secret, state.digest, after, proposal.request.changes);
        applied.delta = configuration_delta{after, state.digest, digest, proposal.request.changes};
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
    fields.version(stateFormatVersion);
    fields.bytesInto(state.digest);
    state.log = decodeChangeLog(fields.bytes(maxConfigurationBytes));
    state.claims = decodeClaimsView(fields.bytes(maxClaimsViewBytes));
    return state;
}

} // namespace guavafront
