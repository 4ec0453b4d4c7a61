#include "configuration/configuration_fixture.h"
#include "golden_file.h"

#include "wire/configuration_codec.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

struct configuration_codec_fixture : configuration_fixture {
    change_request request{
        {0x0102030405060708, 9},
        {1},
        {set_defaults{{.accountRatePerSecond = 50, .quarantineDeaths = 2}}, create_account{"b"},
         set_kind_order{"b", {"lista", "cobro"}}, grant_key{"b-1", "b", hashOf(9)}, withdraw_key{"panalera-1"},
         put_route{{.pathPrefix = "/x",
                    .service = "s",
                    .kind = "k",
                    .openToAll = true,
                    .ordered = true,
                    .repeats = repeatability::NotRepeatable,
                    .timeoutMs = 70}},
         remove_route{"rutas.example", "/listas"}, put_exception{{"service:s", "retryBudgetPercent", 5, "gray"}},
         remove_exception{"account:panalera", "accountRatePerSecond"}}}; ///< One change of each kind.

    configuration_codec_fixture()
    {
        decide(log, makeProposal(fleetOperator(), request));
    }

    /// Code of the coordination_error that decoding the bytes throws.
    static result_code refusalOf(std::span<const std::byte> encoded)
    {
        try {
            decodeChangeLog(encoded);
        } catch (const coordination_error &fault) {
            return fault.code();
        }
        return result_code::Ok;
    }

    /// Compares encoded bytes with a golden file and prints them when they differ.
    static void checkGolden(const std::string &name, std::span<const std::byte> encoded)
    {
        const std::vector<std::byte> golden = readGolden(name);
        BOOST_CHECK_MESSAGE(std::ranges::equal(golden, encoded), name << " differs from:\n" << toHex(encoded));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_codec_test, configuration_codec_fixture)

BOOST_AUTO_TEST_CASE(encode_eachFormat_equalsGoldenFile)
{
    BOOST_TEST(log.current.atRevision.value == 2U);
    checkGolden("wire/golden/change_log.hex", encodeChangeLog(log));
    checkGolden("wire/golden/change_proposal.hex", encodeProposal(makeProposal(fleetOperator(), request)));
    checkGolden("wire/golden/changes.hex", encodeChanges(request.changes));
}

BOOST_AUTO_TEST_CASE(encodeNewProposal_request_sameBytesAsOfTheProposal)
{
    BOOST_TEST((encodeNewProposal(fleetOperator(), request) == encodeProposal(makeProposal(fleetOperator(), request))));
}

BOOST_AUTO_TEST_CASE(encodeNewProposal_requestThatCannotBeDecoded_changeInvalid)
{
    request.changes.assign(maxChangesPerRequest + 1, create_account{"b"});
    BOOST_CHECK_EXCEPTION(encodeNewProposal(fleetOperator(), request), coordination_error,
                          [](const coordination_error &fault) { return fault.code() == result_code::ChangeInvalid; });
}

BOOST_AUTO_TEST_CASE(decode_goldenFile_sameValue)
{
    BOOST_CHECK(decodeChangeLog(readGolden("wire/golden/change_log.hex")) == log);
    BOOST_CHECK(decodeProposal(readGolden("wire/golden/change_proposal.hex"))
                == makeProposal(fleetOperator(), request));
    BOOST_CHECK(decodeChanges(readGolden("wire/golden/changes.hex")) == request.changes);
}

BOOST_AUTO_TEST_CASE(decode_configurationAndRequest_sameValue)
{
    BOOST_CHECK(decodeConfiguration(encodeConfiguration(log.current)) == log.current);
    BOOST_CHECK(decodeChangeRequest(encodeChangeRequest(request)) == request);
}

BOOST_AUTO_TEST_CASE(decode_everyPrefixAndEveryFlippedByte_numberedErrorOrValidValue)
{
    const std::vector<std::byte> whole = encodeChangeLog(log);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        BOOST_CHECK(refusalOf(std::span(whole).first(size)) == result_code::MessageMalformed);
    }
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::vector<std::byte> flipped = whole;
        flipped[at] ^= std::byte{0xff};
        refusalOf(flipped); // Another exception than coordination_error fails the test.
    }
}

BOOST_AUTO_TEST_CASE(decode_otherVersion_messageUnknown)
{
    std::vector<std::byte> other = encodeChangeLog(log);
    other.at(1) = std::byte{2};
    BOOST_CHECK(refusalOf(other) == result_code::MessageUnknown);
}

BOOST_AUTO_TEST_CASE(decode_deeplyNested_malformedWithoutRecursion)
{
    const std::vector<std::byte> nested(500'000, std::byte{0x81});
    BOOST_CHECK(refusalOf(nested) == result_code::MessageMalformed);
}

BOOST_AUTO_TEST_CASE(makeProposal_otherContent_otherDigest)
{
    change_request other = request;
    other.expectedRevision.value = 5;
    BOOST_CHECK(makeProposal(fleetOperator(), other).contentDigest
                != makeProposal(fleetOperator(), request).contentDigest);
    BOOST_CHECK(makeProposal({operator_role::AccountManager, "b"}, request).contentDigest
                != makeProposal(fleetOperator(), request).contentDigest);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
