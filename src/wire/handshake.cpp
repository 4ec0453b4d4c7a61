#include "wire/handshake.h"

#include "wire/cbor_reader.h"

#include <sodium.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace guavafront
{

namespace
{

constexpr std::string_view initiatorLabel = "guavafront link 1 initiator";
constexpr std::string_view responderLabel = "guavafront link 1 responder";
constexpr std::size_t nameLimitBytes = 64;
constexpr cbor_limits handshakeLimits{.bytes = 1024, .depth = 3};

enum class message_kind : std::uint8_t { Hello = 1, Answer = 2, Confirm = 3 };

const unsigned char *raw(std::span<const std::byte> bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

unsigned char *rawOutput(std::span<std::byte> bytes)
{
    return reinterpret_cast<unsigned char *>(bytes.data());
}

nlohmann::json identityArray(const peer_identity &identity)
{
    return nlohmann::json::array({identity.id.value, identity.address, identity.dataCentre, identity.roles});
}

peer_identity readIdentity(cbor_reader fields)
{
    peer_identity identity;
    identity.id = {fields.nextUnsigned<std::uint64_t>()};
    identity.address = fields.nextText();
    identity.dataCentre = fields.nextText();
    identity.roles = fields.nextUnsigned<std::uint8_t>();
    cbor_reader::check(identity.id.value != 0 && identity.address.size() <= nameLimitBytes
                       && identity.dataCentre.size() <= nameLimitBytes && fields.atEnd());
    return identity;
}

std::array<std::byte, 32> read32(cbor_reader &fields)
{
    const std::span<const std::byte> bytes = fields.nextBytes();
    std::array<std::byte, 32> result{};
    cbor_reader::check(bytes.size() == result.size());
    std::ranges::copy(bytes, result.begin());
    return result;
}

/// What both proofs of one handshake are made of, in the initiator's order.
byte_buffer transcript(std::string_view label, const handshake &state, bool initiator)
{
    auto fields = nlohmann::json::array({std::string(label)});
    fields.push_back(cborBytes(initiator ? state.ownNonce : state.peerNonce));
    fields.push_back(cborBytes(initiator ? state.peerNonce : state.ownNonce));
    fields.push_back(identityArray(initiator ? state.self : state.peer));
    fields.push_back(identityArray(initiator ? state.peer : state.self));
    return encodeCbor(fields);
}

link_proof prove(const fleet_secret &secret, const byte_buffer &text)
{
    static_assert(sizeof(link_proof) == crypto_auth_BYTES && sizeof(fleet_secret) == crypto_auth_KEYBYTES);
    link_proof proof{};
    crypto_auth(rawOutput(proof), raw(text), text.size(), raw(secret));
    return proof;
}

void verify(const fleet_secret &secret, const link_proof &proof, const byte_buffer &text)
{
    if (crypto_auth_verify(raw(proof), raw(text), text.size(), raw(secret)) != 0) {
        throw coordination_error(result_code::LinkUnauthenticated, "the peer did not prove the fleet secret");
    }
}

void takePeer(handshake &state, const peer_identity &identity, const link_nonce &nonce)
{
    if (identity.id == state.self.id || nonce == state.ownNonce) {
        throw coordination_error(result_code::LinkUnauthenticated, "the peer claims this VM's own identity");
    }
    state.peer = identity;
    state.peerNonce = nonce;
}

} // namespace

fleet_secret deriveFleetSecret(std::string_view text)
{
    constexpr std::size_t shortestSecretBytes = 16;
    if (text.size() < shortestSecretBytes) {
        throw coordination_error(result_code::SettingInvalid, "the fleet secret is shorter than 16 bytes");
    }
    fleet_secret secret{};
    crypto_generichash(rawOutput(secret), secret.size(), raw(std::as_bytes(std::span(text))), text.size(), nullptr, 0);
    return secret;
}

link_nonce makeNonce()
{
    link_nonce nonce{};
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

handshake beginAsInitiator(peer_identity self, const link_nonce &nonce)
{
    return {.phase = handshake_phase::AwaitAnswer, .self = std::move(self), .peer = {}, .ownNonce = nonce};
}

handshake beginAsResponder(peer_identity self, const link_nonce &nonce)
{
    return {.phase = handshake_phase::AwaitHello, .self = std::move(self), .peer = {}, .ownNonce = nonce};
}

handshake_hello helloOf(const handshake &state)
{
    assert(state.phase == handshake_phase::AwaitAnswer);
    return {.nonce = state.ownNonce, .identity = state.self};
}

std::optional<handshake_message> advance(handshake &state, const fleet_secret &secret, const handshake_message &message)
{
    const auto *hello = std::get_if<handshake_hello>(&message);
    if (hello && state.phase == handshake_phase::AwaitHello) {
        takePeer(state, hello->identity, hello->nonce);
        state.phase = handshake_phase::AwaitConfirm;
        return handshake_answer{.nonce = state.ownNonce,
                                .identity = state.self,
                                .proof = prove(secret, transcript(responderLabel, state, false))};
    }
    const auto *answer = std::get_if<handshake_answer>(&message);
    if (answer && state.phase == handshake_phase::AwaitAnswer) {
        takePeer(state, answer->identity, answer->nonce);
        verify(secret, answer->proof, transcript(responderLabel, state, true));
        state.phase = handshake_phase::Done;
        return handshake_confirm{.proof = prove(secret, transcript(initiatorLabel, state, true))};
    }
    const auto *confirm = std::get_if<handshake_confirm>(&message);
    if (confirm && state.phase == handshake_phase::AwaitConfirm) {
        verify(secret, confirm->proof, transcript(initiatorLabel, state, false));
        state.phase = handshake_phase::Done;
        return std::nullopt;
    }
    throw coordination_error(result_code::LinkUnauthenticated, "handshake message out of order");
}

byte_buffer encodeHandshake(const handshake_message &message)
{
    auto fields = nlohmann::json::array();
    if (const auto *hello = std::get_if<handshake_hello>(&message)) {
        fields.push_back(static_cast<std::uint8_t>(message_kind::Hello));
        fields.push_back(cborBytes(hello->nonce));
        fields.push_back(identityArray(hello->identity));
    } else if (const auto *answer = std::get_if<handshake_answer>(&message)) {
        fields.push_back(static_cast<std::uint8_t>(message_kind::Answer));
        fields.push_back(cborBytes(answer->nonce));
        fields.push_back(identityArray(answer->identity));
        fields.push_back(cborBytes(answer->proof));
    } else {
        fields.push_back(static_cast<std::uint8_t>(message_kind::Confirm));
        fields.push_back(cborBytes(std::get<handshake_confirm>(message).proof));
    }
    return encodeCbor(fields);
}

handshake_message decodeHandshake(std::span<const std::byte> bytes)
{
    const nlohmann::json value = decodeCbor(bytes, handshakeLimits);
    cbor_reader fields(value);
    switch (static_cast<message_kind>(fields.nextUnsigned<std::uint8_t>())) {
    case message_kind::Hello: {
        const link_nonce nonce = read32(fields);
        return handshake_hello{.nonce = nonce, .identity = readIdentity(fields.nextArray())};
    }
    case message_kind::Answer: {
        const link_nonce nonce = read32(fields);
        peer_identity identity = readIdentity(fields.nextArray());
        return handshake_answer{.nonce = nonce, .identity = std::move(identity), .proof = read32(fields)};
    }
    case message_kind::Confirm:
        return handshake_confirm{.proof = read32(fields)};
    }
    throw coordination_error(result_code::MessageUnknown, "unknown handshake message");
}

} // namespace guavafront
