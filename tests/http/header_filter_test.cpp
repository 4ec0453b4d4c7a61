#include "http/header_filter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

namespace guavafront
{

namespace
{

constexpr const char *secret = "llave-de-prueba-123";

/// Names of header fields that must not be forwarded upstream.
constexpr std::array<const char *, 22> droppedNames{
    "X-Api-Key",      "x-api-key",        "X_API_KEY",  "Api-Key",      "Authorization",        "Proxy-Authorization",
    "Connection",     "Keep-Alive",       "TE",         "Trailer",      "Transfer-Encoding",    "Upgrade",
    "Expect",         "Proxy-Connection", "X-Named",    "x-named",      "X-Guavafront-Account", "x-guavafront-account",
    "Content-Length", "X-Guavafront-Any", "Access-Key", "X-Auth-Token",
};

/// Header fields of one request.
struct header_filter_fixture {
    std::vector<http_header> fields{{"Host", "rutas.example"}, {"Connection", "close, X-Named"}, {"Accept", "*/*"}};

    /// Value of the field of this name that is forwarded upstream; "absent" when there is none.
    std::string upstreamValue(std::string_view name) const
    {
        for (const http_header &field : upstreamHeaders(viewsOf(fields), secret)) {
            if (sameFieldName(field.name, name)) {
                return field.value;
            }
        }
        return "absent";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(header_filter_test, header_filter_fixture)

BOOST_DATA_TEST_CASE_F(header_filter_fixture, upstreamHeaders_forbiddenName_dropped,
                       boost::unit_test::data::make(droppedNames), name)
{
    fields.push_back({name, "value"});
    BOOST_TEST(upstreamValue(name) == "absent");
    BOOST_TEST(upstreamValue("Accept") == "*/*");
}

BOOST_AUTO_TEST_CASE(upstreamHeaders_keyUnderOtherName_dropped)
{
    fields.push_back({"X-Debug", std::string("was ") + secret});
    fields.push_back({"X-Debug-Encoded", "llave%2dde%2Dprueba-123"});
    BOOST_TEST(upstreamValue("X-Debug") == "absent");
    BOOST_TEST(upstreamValue("X-Debug-Encoded") == "absent");
}

BOOST_AUTO_TEST_CASE(upstreamHeaders_keyInCookie_onlyThatPairDropped)
{
    fields.push_back({"Cookie", std::string("lang=es; api_key=abc; old=") + secret + "; t=1"});
    BOOST_TEST(upstreamValue("Cookie") == "lang=es; t=1");
}

BOOST_AUTO_TEST_CASE(upstreamQuery_keyByNameOrValue_dropped)
{
    BOOST_TEST(upstreamQuery("dia=1&api_key=a&key=b&API%5fKEY=c&x=llave-de-prueba-123&z=2", secret) == "dia=1&z=2");
    BOOST_TEST(upstreamQuery("", secret).empty());
}

BOOST_AUTO_TEST_CASE(upstreamHeaders_keyAsFieldName_dropped)
{
    fields.push_back({secret, "value"});
    BOOST_TEST(upstreamValue(secret) == "absent");
}

BOOST_AUTO_TEST_CASE(contentHoldsKey_pathHostOrBody_found)
{
    const std::string body = std::string("{\"key\":\"") + secret + "\"}";
    BOOST_TEST(contentHoldsKey({.host = "rutas.example", .path = "/listas/llave-de-prueba-123/hoy"}, secret));
    BOOST_TEST(contentHoldsKey({.host = "rutas.example", .path = "/llave%2Dde%2dprueba-123"}, secret));
    BOOST_TEST(contentHoldsKey({.host = "llave-de-prueba-123.example", .path = "/"}, secret));
    BOOST_TEST(contentHoldsKey({.host = "rutas.example", .path = "/", .body = bytesOf(body)}, secret));
    BOOST_TEST(!contentHoldsKey({.host = "rutas.example", .path = "/listas", .body = bytesOf("{}")}, secret));
    BOOST_TEST(!contentHoldsKey({.host = "rutas.example", .path = "/listas"}, ""));
}

BOOST_AUTO_TEST_CASE(callerKey_eachPlace_found)
{
    BOOST_TEST(callerKey(viewsOf(std::vector<http_header>{{"x-api-key", "k1"}})) == "k1");
    BOOST_TEST(callerKey(viewsOf(std::vector<http_header>{{"Authorization", "bearer  k2"}})) == "k2");
    BOOST_TEST(callerKey(viewsOf(std::vector<http_header>{{"Authorization", "Basic k3"}})).empty());
}

BOOST_AUTO_TEST_CASE(refusalAnswer_notRun_problemDetailsStateIt)
{
    const http_answer answer = refusalAnswer(
        {.code = result_code::OverRate, .ran = execution::NotRun, .retryAfter = std::chrono::milliseconds(1500)});
    BOOST_TEST(answer.status == 429);
    BOOST_TEST(textOf(answer.body).find(R"("code":1004,"name":"over_rate","not_run":true,"retry_after_ms":1500)")
               != std::string_view::npos);
    BOOST_TEST(headerValue(viewsOf(answer.headers), "Retry-After") == "2");
    BOOST_TEST(headerValue(viewsOf(answer.headers), "Content-Type") == "application/problem+json");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
