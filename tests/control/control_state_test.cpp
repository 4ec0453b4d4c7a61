#include "configuration/configuration_fixture.h"
#include "golden_file.h"

#include "daemon/control/control_state.h"

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

struct control_state_fixture : configuration_fixture {
    control_state state{.log = log,
                        .digest = {std::byte{0x44}},
                        .claims = {{3}, {{{5}, 9, "dc-1"}, {{6}, 2, "dc-2"}}, {{{5}, 9, "dc-1"}}}};

    static void checkGolden(const std::string &name, std::span<const std::byte> encoded)
    {
        BOOST_CHECK_MESSAGE(std::ranges::equal(readGolden(name), encoded), name << " differs from:\n"
                                                                                << toHex(encoded));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(control_state_test, control_state_fixture)

BOOST_AUTO_TEST_CASE(encode_stateAndClaimsCommand_equalGoldenFiles)
{
    checkGolden("control/golden/control_state.hex", encodeControlState(state));
    checkGolden("control/golden/claims_command.hex", encodeClaimsCommand(state.claims));
}

BOOST_AUTO_TEST_CASE(decode_goldenFile_sameState)
{
    BOOST_CHECK(decodeControlState(readGolden("control/golden/control_state.hex")) == state);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
