#include "configuration/configuration_fixture.h"

#include "daemon/control/control_state.h"
#include "wire/configuration_codec.h"

#include <guavafront/coordination/configuration/configuration_difference.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace guavafront
{

namespace
{

/// The replicated state of control VMs, which get orders as commands of the log.
struct evacuation_log_fixture : configuration_fixture {
    control_state state{.log = log, .digest = {}, .claims = {}}; ///< State of one control VM.
    fleet_secret secret{}; ///< Key of the history digests.
    std::uint64_t lastId = 0; ///< Number of the last request.

    /// Command for the log with one change.
    std::vector<std::byte> commandOf(change edit)
    {
        const change_request request{{7, ++lastId}, {}, {std::move(edit)}};
        return encodeProposal(makeProposal(fleetOperator(), request));
    }

    std::vector<std::byte> orderOf(evacuation_action action, std::uint64_t atMs, const std::string &where = "occ-a")
    {
        return commandOf(evacuation_order{where, action, atMs});
    }

    applied_command apply(const std::vector<std::byte> &command)
    {
        return applyCommand(state, secret, command);
    }

    /// A whole configuration of an outside operator.
    static replace_all replacementOf(std::uint64_t version)
    {
        replace_all edit;
        edit.value.externalVersion = version;
        edit.value.document = "{}";
        return edit;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_log_test, evacuation_log_fixture)

BOOST_AUTO_TEST_CASE(order_applied_revisionAdvancesVersionAndDocumentStay)
{
    apply(commandOf(replacementOf(5)));
    const configuration before = state.log.current;
    const applied_command applied = apply(orderOf(evacuation_action::Start, 1'000));
    BOOST_CHECK(applied.answer.code == result_code::Ok);
    BOOST_TEST(applied.accepted);
    BOOST_REQUIRE(applied.delta);
    configuration expected = before;
    ++expected.atRevision.value;
    expected.evacuations = {{.dataCentre = "occ-a", .inForce = true, .startedMs = 1'000}};
    BOOST_CHECK(state.log.current == expected);
}

BOOST_AUTO_TEST_CASE(order_withoutEffect_acknowledgedWithoutRevision)
{
    apply(orderOf(evacuation_action::Start, 1'000));
    const revision first = state.log.current.atRevision;
    const applied_command again = apply(orderOf(evacuation_action::Start, 2'000));
    BOOST_CHECK(again.answer.code == result_code::Ok);
    BOOST_TEST(!again.accepted);
    apply(orderOf(evacuation_action::End, 2'500));
    const applied_command late = apply(orderOf(evacuation_action::Start, 3'000));
    BOOST_CHECK(late.answer.code == result_code::Ok);
    BOOST_TEST(!late.accepted);
    BOOST_TEST(state.log.current.atRevision.value == first.value + 1);
    BOOST_TEST(evacuatedDataCentres(state.log.current.evacuations).empty());
}

BOOST_AUTO_TEST_CASE(replacement_whileEvacuated_evacuationStays)
{
    apply(orderOf(evacuation_action::Start, 1'000));
    const applied_command applied = apply(commandOf(replacementOf(9)));
    BOOST_TEST(applied.accepted);
    BOOST_TEST(state.log.current.externalVersion == 9U);
    BOOST_TEST(evacuatedDataCentres(state.log.current.evacuations).size() == 1U);
}

// Guards against a replica that decides otherwise since it was restored from a snapshot or took the changes as deltas.
BOOST_AUTO_TEST_CASE(orders_replicaFromSnapshotAndFollowerFromDeltas_sameState)
{
    configuration followed = state.log.current;
    const auto applyAndFollow = [this, &followed](const std::vector<std::byte> &command) {
        const applied_command applied = apply(command);
        if (applied.accepted) {
            followed = applyChanges(followed, decodeChanges(encodeChanges(applied.delta->changes)));
        }
    };
    applyAndFollow(orderOf(evacuation_action::Start, 1'000));
    applyAndFollow(commandOf(replacementOf(3)));
    applyAndFollow(orderOf(evacuation_action::Start, 1'200, "occ-b"));
    applyAndFollow(orderOf(evacuation_action::End, 2'000));
    control_state restored = decodeControlState(encodeControlState(state));
    BOOST_CHECK(restored == state);
    const std::vector<std::byte> late = orderOf(evacuation_action::Start, 4'000);
    BOOST_TEST(!applyCommand(restored, secret, late).accepted);
    applyAndFollow(late);
    BOOST_CHECK(restored == state);
    configuration withoutDocument = state.log.current;
    withoutDocument.document.clear();
    BOOST_CHECK(followed == withoutDocument);
}

BOOST_AUTO_TEST_CASE(order_ofAccountManagerOrAmongOtherChanges_refused)
{
    const change order = evacuation_order{"occ-a", evacuation_action::Start, 1};
    change_request mixed{{8, 1}, state.log.current.atRevision, {order, create_account{"b"}}};
    BOOST_CHECK(decide(state.log, makeProposal(fleetOperator(), mixed)).code == result_code::ChangeInvalid);
    const change_request alone{{8, 2}, {}, {order}};
    const change_author manager{operator_role::AccountManager, "panalera"};
    BOOST_CHECK(decide(state.log, makeProposal(manager, alone)).code == result_code::NotAuthorized);
    const change_request unnamed{{8, 3}, {}, {evacuation_order{"", evacuation_action::Start, 1}}};
    BOOST_CHECK(decide(state.log, makeProposal(fleetOperator(), unnamed)).code == result_code::ChangeInvalid);
    BOOST_TEST(state.log.current.evacuations.empty());
}

BOOST_AUTO_TEST_CASE(difference_withEvacuations_sameConfiguration)
{
    const configuration before = state.log.current;
    apply(orderOf(evacuation_action::Start, 1'000));
    const configuration_difference difference = differenceBetween(before, state.log.current);
    const std::vector<change> decoded = decodeChanges(encodeChanges(std::vector<change>{difference}));
    BOOST_REQUIRE(decoded.size() == 1U);
    BOOST_CHECK(std::get<configuration_difference>(decoded.front()) == difference);
    configuration after = before;
    applyDifference(after, difference);
    BOOST_CHECK(after.evacuations == state.log.current.evacuations);
}

// A VM of the previous build reads a configuration of at most 12 fields and a difference of 12: after the revocation is
// forgotten, the bytes are those of a configuration that never had an evacuation.
BOOST_AUTO_TEST_CASE(encoding_evacuationForgotten_sameBytesAsWithout)
{
    configuration plain = state.log.current;
    apply(orderOf(evacuation_action::Start, 1'000));
    BOOST_CHECK(decodeConfiguration(encodeConfiguration(state.log.current)) == state.log.current);
    apply(orderOf(evacuation_action::End, 9'000));
    BOOST_TEST(state.log.current.evacuations.size() == 1U);
    apply(commandOf(evacuation_order{"occ-a", evacuation_action::Forget, 0}));
    plain.atRevision = state.log.current.atRevision;
    BOOST_CHECK(encodeConfiguration(state.log.current) == encodeConfiguration(plain));
    const configuration_difference none = differenceBetween(plain, state.log.current);
    BOOST_TEST(!none.evacuations);
}

// The time is no part of the digest, so that an operator's resend under the same ID gets the first answer.
BOOST_AUTO_TEST_CASE(order_resentUnderItsId_firstAnswer)
{
    const change_request request{{9, 1}, {}, {evacuation_order{"occ-a", evacuation_action::Start, 0}}};
    change_proposal first = makeProposal(fleetOperator(), request);
    std::get<evacuation_order>(first.request.changes.front()).orderedMs = 1'000;
    change_proposal second = makeProposal(fleetOperator(), request);
    std::get<evacuation_order>(second.request.changes.front()).orderedMs = 2'000;
    const change_answer answer = decide(state.log, first);
    BOOST_CHECK(answer.code == result_code::Ok);
    BOOST_CHECK(decide(state.log, second) == answer);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
