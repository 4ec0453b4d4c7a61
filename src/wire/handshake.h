#pragma once

#include "wire/byte_buffer.h"

#include <guavafront/coordination/core/identifiers.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace guavafront
{

/// Secret that all VMs of the fleet share.
using fleet_secret = std::array<std::byte, 32>;
/// Random bytes that one end of a link draws for this link only.
using link_nonce = std::array<std::byte, 32>;
/// HMAC-SHA-512-256, with the fleet secret as key, over the role of the sender, both nonces and both identities.
using link_proof = std::array<std::byte, 32>;

/// Derives the fleet secret from the content of the fleet's secret file. Throws coordination_error (SettingInvalid)
/// when the content is shorter than 16 bytes.
fleet_secret deriveFleetSecret(std::string_view text);

/// Draws a random nonce.
link_nonce makeNonce();

/// Identity that a VM states in the handshake.
struct peer_identity {
    vm_id id; ///< Identifier of this run of the VM's process.
    std::string address; ///< "IP:port" on which the VM accepts links.
    std::string dataCentre; ///< Data centre from the VM's settings.
    std::uint8_t roles = 0; ///< Bit set of vm_role.

    /// Memberwise equality.
    bool operator==(const peer_identity &) const = default;
};

/// First message, sent by the initiator.
struct handshake_hello {
    link_nonce nonce{}; ///< Nonce of the initiator.
    peer_identity identity; ///< Identity of the initiator, not proved yet.
};

/// Second message: the responder's answer to the hello, with its proof.
struct handshake_answer {
    link_nonce nonce{}; ///< Nonce of the responder.
    peer_identity identity; ///< Identity of the responder; the proof covers it.
    link_proof proof{}; ///< Proves that the responder has the fleet secret.
};

/// Third and last message: the initiator's proof.
struct handshake_confirm {
    link_proof proof{}; ///< Proves that the initiator has the fleet secret.
};

/// One message of the handshake.
using handshake_message = std::variant<handshake_hello, handshake_answer, handshake_confirm>;

/// Message that one end of the handshake waits for.
enum class handshake_phase : std::uint8_t {
    AwaitHello, ///< The responder waits for the hello.
    AwaitAnswer, ///< The initiator has sent its hello and waits for the answer.
    AwaitConfirm, ///< The responder has sent its answer and waits for the initiator's proof.
    Done, ///< The peer has proved the fleet secret.
};

/// One end of a mutual challenge-response handshake. Each proof names its sender's role, both nonces and both
/// identities, so that neither a replayed nor a reflected message is accepted.
struct handshake {
    handshake_phase phase = handshake_phase::AwaitHello; ///< Message that this end waits for.
    peer_identity self; ///< Identity of this VM.
    peer_identity peer; ///< Identity of the peer; proved once phase is Done.
    link_nonce ownNonce{}; ///< Nonce of this end, drawn for this link only.
    link_nonce peerNonce{}; ///< Nonce from the peer's first message.
};

/// Starts the handshake as the initiator, which then sends makeHello().
handshake beginAsInitiator(peer_identity self, const link_nonce &nonce);

/// Starts the handshake as the responder.
handshake beginAsResponder(peer_identity self, const link_nonce &nonce);

/// Makes the first message of an initiator.
handshake_hello makeHello(const handshake &state);

/// Processes a message of the peer and returns the reply, if there is one. Throws coordination_error
/// (LinkUnauthenticated) when the message is out of order, its proof is wrong or it states this VM's own identity.
std::optional<handshake_message> advance(handshake &state, const fleet_secret &secret,
                                         const handshake_message &message);

/// Encodes a handshake message as CBOR.
byte_buffer encodeHandshake(const handshake_message &message);

/// Decodes what encodeHandshake() wrote. Throws coordination_error (MessageTooLarge, MessageMalformed, MessageUnknown).
handshake_message decodeHandshake(std::span<const std::byte> bytes);

} // namespace guavafront
