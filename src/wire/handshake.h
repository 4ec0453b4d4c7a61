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

/// Secret that all VMs of the fleet hold.
using fleet_secret = std::array<std::byte, 32>;
/// Fresh random bytes of one end of a link.
using link_nonce = std::array<std::byte, 32>;
/// HMAC-SHA-512-256 over both nonces and both identities.
using link_proof = std::array<std::byte, 32>;

/// Secret derived from the content of the fleet's secret file. Throws coordination_error (SettingInvalid) when it is
/// shorter than 16 bytes.
fleet_secret deriveFleetSecret(std::string_view text);

/// Fresh random nonce.
link_nonce makeNonce();

/// Who a VM says it is.
struct peer_identity {
    vm_id id; ///< This incarnation of the VM's process.
    std::string address; ///< "IP:port" where it takes links.
    std::string dataCentre; ///< From its settings.
    std::uint8_t roles = 0; ///< Bits of vm_role.

    /// Memberwise equality.
    bool operator==(const peer_identity &) const = default;
};

/// Initiator's first message.
struct handshake_hello {
    link_nonce nonce{}; ///< Fresh.
    peer_identity identity; ///< Not proved yet.
};

/// Responder's answer, with its proof.
struct handshake_answer {
    link_nonce nonce{}; ///< Fresh.
    peer_identity identity; ///< Proved by proof.
    link_proof proof{}; ///< Shows the fleet secret.
};

/// Initiator's proof.
struct handshake_confirm {
    link_proof proof{}; ///< Shows the fleet secret.
};

/// Any message of the handshake.
using handshake_message = std::variant<handshake_hello, handshake_answer, handshake_confirm>;

/// What one end waits for.
enum class handshake_phase : std::uint8_t {
    AwaitHello, ///< Responder, at the start.
    AwaitAnswer, ///< Initiator, after its hello.
    AwaitConfirm, ///< Responder, after its answer.
    Done, ///< The peer has proved the fleet secret.
};

/// One end of a mutual challenge-response handshake. Each proof names its sender's role, both nonces and both
/// identities, so that neither a replayed nor a reflected message is accepted.
struct handshake {
    handshake_phase phase = handshake_phase::AwaitHello; ///< What comes next.
    peer_identity self; ///< Own identity.
    peer_identity peer; ///< The other's; proved once phase is Done.
    link_nonce ownNonce{}; ///< Fresh for this link.
    link_nonce peerNonce{}; ///< From the peer's first message.
};

/// Initiator's handshake; its first message is makeHello().
handshake beginAsInitiator(peer_identity self, const link_nonce &nonce);

/// Responder's handshake.
handshake beginAsResponder(peer_identity self, const link_nonce &nonce);

/// First message of an initiator.
handshake_hello makeHello(const handshake &state);

/// Takes the peer's message and gives the reply, if there is one. Throws coordination_error (LinkUnauthenticated).
std::optional<handshake_message> advance(handshake &state, const fleet_secret &secret,
                                         const handshake_message &message);

/// Encoded message.
byte_buffer encodeHandshake(const handshake_message &message);

/// Decoded message. Throws coordination_error (MessageMalformed, MessageUnknown).
handshake_message decodeHandshake(std::span<const std::byte> bytes);

} // namespace guavafront
