#include "wire/handshake.h"

#include "wire/cbor_fields.h"

#include <guavafront/coordination/core/coordination_error.h>

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
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxHandshakeBytes = 1024;

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

peer_identity readIdentity(const nlohmann::json &value)
{
    cbor_fields fields(value, "peer identity", 4);
    peer_identity identity;
    identity.id = {fields.integer<std::uint64_t>()};
    identity.address = fields.text(maxNameBytes);
    identity.dataCentre = fields.text(maxNameBytes);
    identity.roles = fields.integer<std::uint8_t>();
    if (identity.id.value == 0) {
        throw coordination_error(result_code::MessageMalformed, "malformed peer identity");
    }
    return identity;
}

/// Bytes that a proof authenticates: the label of the role that makes the proof, then the nonces and identities, those
/// of the initiator first. initiator says whether state belongs to the initiator.
byte_buffer transcript(std::string_view label, const handshake &state, bool initiator)
{
    auto fields = nlohmann::json::array({std::string(label)});
    fields.push_back(cborBytes(initiator ? state.ownNonce : state.peerNonce));
    fields.push_back(cborBytes(initiator ? state.peerNonce : state.ownNonce));
    fields.push_back(identityArray(initiator ? state.self : state.peer));
    fields.push_back(identityArray(initiator ? state.peer : state.self));
    return encodeCbor(fields);
}

link_proof makeProof(const fleet_secret &secret, const byte_buffer &text)
{
    static_assert(sizeof(link_proof) == crypto_auth_BYTES && sizeof(fleet_secret) == crypto_auth_KEYBYTES);
    link_proof proof{};
    crypto_auth(rawOutput(proof), raw(text), text.size(), raw(secret));
    return proof;
}

void verifyProof(const fleet_secret &secret, const link_proof &proof, const byte_buffer &text)
{
    if (crypto_auth_verify(raw(proof), raw(text), text.size(), raw(secret)) != 0) {
        throw coordination_error(result_code::LinkUnauthenticated, "the peer did not prove the fleet secret");
    }
}

void acceptPeerIdentity(handshake &state, const peer_identity &identity, const link_nonce &nonce)
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
    constexpr std::size_t minSecretBytes = 16;
    if (text.size() < minSecretBytes) {
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

handshake_hello makeHello(const handshake &state)
{
    assert(state.phase == handshake_phase::AwaitAnswer);
    return {.nonce = state.ownNonce, .identity = state.self};
}

std::optional<handshake_message> advance(handshake &state, const fleet_secret &secret, const handshake_message &message)
{
    const auto *hello = std::get_if<handshake_hello>(&message);
    if (hello && state.phase == handshake_phase::AwaitHello) {
        acceptPeerIdentity(state, hello->identity, hello->nonce);
        state.phase = handshake_phase::AwaitConfirm;
        return handshake_answer{.nonce = state.ownNonce,
                                .identity = state.self,
                                .proof = makeProof(secret, transcript(responderLabel, state, false))};
    }
    const auto *answer = std::get_if<handshake_answer>(&message);
    if (answer && state.phase == handshake_phase::AwaitAnswer) {
        acceptPeerIdentity(state, answer->identity, answer->nonce);
        verifyProof(secret, answer->proof, transcript(responderLabel, state, true));
        state.phase = handshake_phase::Done;
        return handshake_confirm{.proof = makeProof(secret, transcript(initiatorLabel, state, true))};
    }
    const auto *confirm = std::get_if<handshake_confirm>(&message);
    if (confirm && state.phase == handshake_phase::AwaitConfirm) {
        verifyProof(secret, confirm->proof, transcript(initiatorLabel, state, false));
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
    constexpr std::size_t identityFields = 4;
    const nlohmann::json value = parseCbor(bytes, maxHandshakeBytes);
    cbor_fields fields(value, "handshake message", value.is_array() ? value.size() : 1);
    switch (fields.enumerator(message_kind::Confirm)) {
    case message_kind::Hello: {
        handshake_hello hello;
        cbor_fields rest(value, "hello", 3);
        rest.enumerator(message_kind::Hello);
        rest.bytesInto(hello.nonce);
        hello.identity = readIdentity(rest.array(identityFields));
        return hello;
    }
    case message_kind::Answer: {
        handshake_answer answer;
        cbor_fields rest(value, "answer", 4);
        rest.enumerator(message_kind::Answer);
        rest.bytesInto(answer.nonce);
        answer.identity = readIdentity(rest.array(identityFields));
        rest.bytesInto(answer.proof);
        return answer;
    }
    case message_kind::Confirm: {
        handshake_confirm confirm;
        cbor_fields rest(value, "confirm", 2);
        rest.enumerator(message_kind::Confirm);
        rest.bytesInto(confirm.proof);
        return confirm;
    }
    }
    throw coordination_error(result_code::MessageUnknown, "unknown handshake message");
}

} // namespace guavafront
