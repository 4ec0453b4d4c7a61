#include "wire/answer_codec.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>

namespace guavafront
{

BOOST_AUTO_TEST_SUITE(answer_codec_test)

BOOST_AUTO_TEST_CASE(decode_answerWithBytesOfAnyKind_equal)
{
    const http_answer answer{.status = 201,
                             .headers = {{"Content-Type", "text/plain"}, {"X-Latin", "ni\xf1o"}},
                             .body = {std::byte{0}, std::byte{0xff}, std::byte{'a'}}};
    BOOST_TEST((decodeAnswer(encodeAnswer(answer)) == answer));
}

BOOST_AUTO_TEST_CASE(decode_cutShort_refused)
{
    const std::vector<std::byte> encoded = encodeAnswer({.status = 200, .headers = {{"A", "b"}}, .body = {}});
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_CHECK_THROW(decodeAnswer(std::span(encoded).first(length)), coordination_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
