#include <guavafront/coordination/configuration/change_log.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace guavafront
{

namespace
{

/// Change log to which an outside operator sends whole configurations with version numbers.
struct replace_all_fixture {
    change_log log;
    std::uint64_t lastId = 0;

    /// Whole configuration with two accounts, a key and a route to the service.
    static replace_all edit(std::uint64_t version, const std::string &service)
    {
        replace_all made;
        made.value.externalVersion = version;
        made.value.document = service;
        made.value.accounts = {{.id = {1}, .name = "panalera"}, {.id = {2}, .name = "tjarnaveitur"}};
        made.value.keys = {{.label = "key-1", .hash = {std::byte{1}}, .owner = {2}}};
        made.value.lastAccountId = {2};
        made.value.routes = {{.id = {1}, .host = "a.example", .pathPrefix = "/x/", .service = service, .kind = "r"}};
        made.value.lastRouteId = {1};
        return made;
    }

    /// Proposes the replacement with a new request ID and returns the answer.
    change_answer send(const replace_all &whole)
    {
        const change_proposal proposal{.author = {.role = operator_role::Operator, .accountName = {}},
                                       .request = {.id = {++lastId, 0}, .expectedRevision = {}, .changes = {whole}},
                                       .contentDigest = lastId};
        return decide(log, proposal);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replace_all_test, replace_all_fixture)

BOOST_AUTO_TEST_CASE(versions_higherAfterLower_inForce)
{
    BOOST_TEST((send(edit(3, "reservas")).code == result_code::Ok));
    BOOST_TEST((send(edit(8, "cobros")).code == result_code::Ok));
    BOOST_TEST(log.current.routes.front().service == "cobros");
    BOOST_TEST(log.current.externalVersion == 8U);
}

BOOST_AUTO_TEST_CASE(versions_lowerOrSame_acknowledgedAndChangeNothing)
{
    send(edit(8, "cobros"));
    const configuration before = log.current;
    BOOST_TEST((send(edit(3, "reservas")).code == result_code::Ok));
    BOOST_TEST((send(edit(8, "rutas")).code == result_code::Ok));
    BOOST_TEST((log.current == before));
}

BOOST_AUTO_TEST_CASE(accounts_thatStay_keepTheirIds)
{
    send(edit(3, "reservas"));
    const account_id kept = log.current.accounts[1].id;
    replace_all next = edit(4, "reservas");
    next.value.accounts = {{.id = {1}, .name = "nueva"}, {.id = {2}, .name = "tjarnaveitur"}};
    send(next);
    const auto found = std::ranges::find(log.current.accounts, "tjarnaveitur", &account::name);
    BOOST_REQUIRE(found != log.current.accounts.end());
    BOOST_TEST((found->id == kept));
    BOOST_TEST((log.current.keys.front().owner == kept));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
