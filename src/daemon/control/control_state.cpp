#include "daemon/control/control_state.h"

#include "wire/cbor_fields.h"
#include "wire/configuration_codec.h"
#include "wire/configuration_history.h"

namespace guavafront
{

namespace
{

constexpr std::uint64_t stateFormatVersion = 1;
constexpr std::size_t maxStateBytes = maxConfigurationBytes + 1024;

} // namespace

applied_command applyCommand(control_state &state, const fleet_secret &secret, std::span<const std::byte> payload)
{
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
        nlohmann::json::array({stateFormatVersion, cborBytes(state.digest), cborBytes(encodeChangeLog(state.log))}));
}

control_state decodeControlState(std::span<const std::byte> encoded)
{
    control_state state;
    if (encoded.empty()) {
        return state;
    }
    const nlohmann::json value = parseCbor(encoded, maxStateBytes);
    cbor_fields fields(value, "control state", 3);
    fields.version(stateFormatVersion);
    fields.bytesInto(state.digest);
    state.log = decodeChangeLog(fields.bytes(maxConfigurationBytes));
    return state;
}

} // namespace guavafront
