#include "wire/handshake.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// Two VMs of one fleet before their handshake.
struct handshake_fixture {
    fleet_secret secret = deriveFleetSecret("the secret of the test's fleet");
    peer_identity first{.id = {1}, .address = "127.0.0.1:1", .dataCentre = "a"};
    peer_identity second{.id = {2}, .address = "127.0.0.1:2", .dataCentre = "b", .roles = 2};
    handshake initiator = beginAsInitiator(first, makeNonce());
    handshake responder = beginAsResponder(second, makeNonce());

    /// Code of the coordination_error that advance() throws for the message; Ok when it throws none.
    static result_code failureOf(handshake &state, const fleet_secret &known, const handshake_message &message)
    {
        try {
            advance(state, known, message);
        } catch (const coordination_error &error) {
            return error.code();
        }
        return result_code::Ok;
    }

    handshake_answer answer()
    {
        return std::get<handshake_answer>(*advance(responder, secret, makeHello(initiator)));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(handshake_test, handshake_fixture)

BOOST_AUTO_TEST_CASE(handshake_sameSecret_bothKnowEachOther)
{
    const auto confirm = advance(initiator, secret, decodeHandshake(encodeHandshake(answer())));
    BOOST_TEST(!advance(responder, secret, decodeHandshake(encodeHandshake(*confirm))));
    BOOST_TEST((initiator.phase == handshake_phase::Done && initiator.peer == second));
    BOOST_TEST((responder.phase == handshake_phase::Done && responder.peer == first));
}

BOOST_AUTO_TEST_CASE(initiator_responderHasOtherSecret_unauthenticated)
{
    const fleet_secret other = deriveFleetSecret("the secret of another fleet");
    const auto reply = *advance(responder, other, makeHello(initiator));
    BOOST_TEST((failureOf(initiator, secret, reply) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(responder_initiatorHasOtherSecret_unauthenticated)
{
    const fleet_secret other = deriveFleetSecret("the secret of another fleet");
    handshake_answer forged = answer();
    handshake liar = initiator;
    BOOST_TEST((failureOf(liar, other, forged) == result_code::LinkUnauthenticated));
    BOOST_TEST((failureOf(responder, secret, handshake_confirm{}) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(responder_ownHelloReflected_unauthenticated)
{
    handshake reflected = beginAsResponder(first, makeNonce());
    BOOST_TEST((failureOf(reflected, secret, makeHello(initiator)) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(initiator_answerMadeForItsOwnHelloByItself_unauthenticated)
{
    // The attacker sends the first VM its own hello back, but with the second VM's identity, and returns the first VM's
    // answer to it as if it came from the second VM.
    handshake oracle = beginAsResponder(first, makeNonce());
    handshake_hello bait = makeHello(initiator);
    bait.identity = second;
    auto stolen = std::get<handshake_answer>(*advance(oracle, secret, bait));
    BOOST_TEST((failureOf(initiator, secret, stolen) == result_code::LinkUnauthenticated));
    stolen.identity = second;
    BOOST_TEST((failureOf(initiator, secret, stolen) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(responder_confirmOfEarlierLinkReplayed_unauthenticated)
{
    const auto confirm = *advance(initiator, secret, answer());
    handshake later = beginAsResponder(second, makeNonce());
    advance(later, secret, handshake_hello{.nonce = initiator.ownNonce, .identity = first});
    BOOST_TEST((failureOf(later, secret, confirm) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(initiator_identityChangedOnTheWay_unauthenticated)
{
    handshake_answer changed = answer();
    changed.identity.roles = 0;
    BOOST_TEST((failureOf(initiator, secret, changed) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(responder_confirmFirst_unauthenticated)
{
    BOOST_TEST((failureOf(responder, secret, handshake_confirm{}) == result_code::LinkUnauthenticated));
}

BOOST_AUTO_TEST_CASE(deriveFleetSecret_tooShort_settingInvalid)
{
    BOOST_CHECK_THROW(deriveFleetSecret("short"), coordination_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
