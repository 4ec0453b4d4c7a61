#include <guavafront/coordination/routing/route_table.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

namespace
{

/// Nested prefixes of one host and a root route of any host.
struct route_table_fixture {
    std::vector<route> routes{
        {.id = {1}, .host = "", .pathPrefix = "/", .service = "fallback"},
        {.id = {2}, .host = "rutas.example", .pathPrefix = "/listas", .service = "rutas"},
        {.id = {3}, .host = "rutas.example", .pathPrefix = "/listas/hoy/", .service = "hoy"},
    };
    route_table table = buildRouteTable(routes);

    /// Service of the route found, or "none".
    std::string_view serviceOf(std::string_view host, std::string_view path) const
    {
        const route *match = findRoute(table, host, path);
        return match ? std::string_view(match->service) : "none";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(route_table_test, route_table_fixture)

BOOST_AUTO_TEST_CASE(findRoute_nestedPrefixes_longestWins)
{
    BOOST_TEST(serviceOf("rutas.example", "/listas/hoy/7") == "hoy");
    BOOST_TEST(serviceOf("rutas.example", "/listas/ayer") == "rutas");
}

BOOST_AUTO_TEST_CASE(findRoute_prefixEndsInsideSegment_notMatched)
{
    BOOST_TEST(serviceOf("rutas.example", "/listasviejas") == "fallback");
}

BOOST_AUTO_TEST_CASE(findRoute_unknownHost_anyHostServes)
{
    BOOST_TEST(serviceOf("otro.example", "/listas") == "fallback");
}

BOOST_AUTO_TEST_CASE(findRoute_emptyTable_null)
{
    BOOST_TEST(findRoute(route_table{}, "rutas.example", "/") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
