#include "processor_time.h"

#include "wire/deflate.h"
#include "wire/envelope.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace guavafront
{

namespace
{

/// A message and its encoding; the size limit is exactly that of the encoding.
struct envelope_fixture {
    envelope message{.kind = channel::Spread, .version = 3, .body = byte_buffer(100, std::byte{7})};
    byte_buffer encoded = encodeEnvelope(message);
    std::size_t maxBytes = encoded.size();

    result_code failureOf(std::span<const std::byte> bytes) const
    {
        try {
            decodeEnvelope(bytes, maxBytes);
        } catch (const coordination_error &error) {
            return error.code();
        }
        return result_code::Ok;
    }

    static byte_buffer bytesOf(std::initializer_list<unsigned> values)
    {
        byte_buffer result;
        for (const unsigned each : values) {
            result.push_back(static_cast<std::byte>(each));
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(envelope_test, envelope_fixture)

BOOST_AUTO_TEST_CASE(decodeEnvelope_encodedMessage_sameMessage)
{
    BOOST_TEST((decodeEnvelope(encoded, maxBytes) == message));
    BOOST_TEST(encoded.size() <= message.body.size() + envelopeOverheadBytes);
}

BOOST_AUTO_TEST_CASE(encodeEnvelope_largeRepetitiveBody_compressedAndSameMessage)
{
    const envelope large{.kind = channel::Configuration, .version = 1, .body = byte_buffer(100'000, std::byte{7})};
    const byte_buffer bytes = encodeEnvelope(large, body_compression::IfSmaller);
    BOOST_TEST(bytes.size() < 2'000U);
    BOOST_TEST((decodeEnvelope(bytes, 200'000) == large));
}

// Guards against control VMs that lose their leadership over a large configuration: it was compressed once more for
// each VM that it was sent to.
BOOST_AUTO_TEST_CASE(encodeEnvelope_largeCompressedBody_notCompressedAgain)
{
    std::mt19937 random(1);
    envelope large{.kind = channel::Replication, .version = 1, .body = byte_buffer(400'000)};
    std::ranges::generate(large.body, [&random] { return static_cast<std::byte>(random()); });
    const double whole = threadMillisecondsOf([&large] { deflated(large.body); });
    const double encoding = threadMillisecondsOf([&large] { encodeEnvelope(large, body_compression::IfSmaller); });
    BOOST_TEST(encoding < whole / 2);
    BOOST_TEST((decodeEnvelope(encodeEnvelope(large, body_compression::IfSmaller), 500'000) == large));
}

BOOST_AUTO_TEST_CASE(encodeEnvelope_smallBody_asWithoutCompression)
{
    BOOST_TEST((encodeEnvelope(message, body_compression::IfSmaller) == encoded));
}

BOOST_AUTO_TEST_CASE(decodeEnvelope_compressedBodyOverSizeLimit_messageTooLarge)
{
    const envelope large{.kind = channel::Configuration, .version = 1, .body = byte_buffer(100'000, std::byte{7})};
    const byte_buffer bytes = encodeEnvelope(large, body_compression::IfSmaller);
    BOOST_CHECK_EXCEPTION(decodeEnvelope(bytes, 50'000), coordination_error,
                          [](const coordination_error &error) { return error.code() == result_code::MessageTooLarge; });
}

BOOST_AUTO_TEST_CASE(decodeEnvelope_overSizeLimit_messageTooLarge)
{
    --maxBytes;
    BOOST_TEST((failureOf(encoded) == result_code::MessageTooLarge));
}

BOOST_AUTO_TEST_CASE(decodeEnvelope_unknownChannel_messageUnknown)
{
    encoded[1] = std::byte{23};
    BOOST_TEST((failureOf(encoded) == result_code::MessageUnknown));
}

BOOST_AUTO_TEST_CASE(decodeEnvelope_cutAnywhere_messageMalformed)
{
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_TEST((failureOf(std::span(encoded).first(length)) == result_code::MessageMalformed));
    }
}

BOOST_AUTO_TEST_CASE(decodeEnvelope_bytesAfterTheEnd_messageMalformed)
{
    encoded.push_back(std::byte{0});
    maxBytes = encoded.size();
    BOOST_TEST((failureOf(encoded) == result_code::MessageMalformed));
}

BOOST_AUTO_TEST_CASE(decodeEnvelope_wrongFieldTypes_messageMalformed)
{
    BOOST_TEST((failureOf(bytesOf({0x83, 0x20, 1, 0x40})) == result_code::MessageMalformed));
    BOOST_TEST((failureOf(bytesOf({0x83, 4, 1, 0x60})) == result_code::MessageMalformed));
    BOOST_TEST((failureOf(bytesOf({0x82, 4, 1})) == result_code::MessageMalformed));
    BOOST_TEST((failureOf(bytesOf({0xa0})) == result_code::MessageMalformed));
}

BOOST_AUTO_TEST_CASE(decodeCbor_nestedTooDeep_messageMalformed)
{
    maxBytes = 1'000'000;
    BOOST_TEST((failureOf(byte_buffer(50'000, std::byte{0x81})) == result_code::MessageMalformed));
}

BOOST_AUTO_TEST_CASE(decodeCbor_nestedIndefiniteStrings_messageMalformed)
{
    maxBytes = 1'000'000;
    BOOST_TEST((failureOf(byte_buffer(maxBytes, std::byte{0x7f})) == result_code::MessageMalformed));
    BOOST_TEST((failureOf(byte_buffer(maxBytes, std::byte{0x5f})) == result_code::MessageMalformed));
}

BOOST_AUTO_TEST_CASE(decodeCbor_hugeCountOrIndefinite_messageMalformed)
{
    BOOST_TEST((failureOf(bytesOf({0x9b, 255, 255, 255, 255, 255, 255, 255, 255})) == result_code::MessageMalformed));
    BOOST_TEST((failureOf(bytesOf({0x5b, 255, 255, 255, 255, 255, 255, 255, 255})) == result_code::MessageMalformed));
    BOOST_TEST((failureOf(bytesOf({0x9f, 0xff})) == result_code::MessageMalformed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavafront
