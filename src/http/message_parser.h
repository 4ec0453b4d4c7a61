#pragma once

#include "http/http_message.h"

#include <http_parser.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// HTTP/1.1 message, as far as it has been received.
struct received_message {
    std::string method; ///< Method in upper case; empty in an answer.
    std::string target; ///< Request target as sent; empty in an answer.
    int status = 0; ///< Status code; 0 in a request.
    std::vector<http_header> headers; ///< Header fields without trailers.
    std::vector<std::byte> body; ///< Body without chunked coding.
    bool keepAlive = false; ///< Whether the connection may carry another message afterwards.
};

/// Size limits of one message.
struct message_limits {
    std::size_t headerBytes = std::size_t{32} * 1024; ///< First line and header fields.
    std::size_t bodyBytes = std::size_t{1024} * 1024; ///< Body without chunked coding.
};

/// Why a message is refused.
enum class message_fault : std::uint8_t {
    None, ///< No fault so far.
    Malformed, ///< Not valid HTTP/1.1, ambiguous framing, or refused by the header_check.
    HeaderTooLarge, ///< Over message_limits::headerBytes, or too many bytes besides the body.
    BodyTooLarge, ///< Over message_limits::bodyBytes.
};

/// Parses HTTP/1.1 messages one after the other (RFC 9112) with the http-parser library. Refuses a message with
/// malformed fields or ambiguous framing before its body is read.
class message_parser
{
public:
    /// Called when the header section has been received; false refuses the message as malformed.
    using header_check = std::function<bool(const received_message &)>;

    /// Parser for requests (HTTP_REQUEST) or answers (HTTP_RESPONSE). check may be empty.
    message_parser(http_parser_type kind, message_limits limits, header_check check);
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// Parses bytes up to the end of the message at most and returns how many were consumed. Check fault() afterwards.
    std::size_t consume(std::span<const std::byte> bytes);

    /// Tells the parser that the peer closed the connection without an error, which completes an answer that has no
    /// framing fields.
    void finish();

    /// Whether the message has been received completely.
    bool complete() const;

    /// Whether the header section of the message has been received completely.
    bool headersReceived() const;

    /// Whether any byte of the message has been received, apart from empty lines before a request.
    bool started() const;

    /// Why the message is refused; None while it is acceptable.
    message_fault fault() const;

    /// The message, as far as it has been received.
    received_message &message();

    /// Discards the message and starts the next one. answersHeadRequest says that the next message answers a HEAD
    /// request and so has no body.
    void reset(bool answersHeadRequest = false);

    /// Replaces the size limits. Call it only between two messages.
    void setLimits(const message_limits &limits);

private:
    static message_parser &self(http_parser *parser);
    static int onTarget(http_parser *parser, const char *at, std::size_t length);
    static int onFieldName(http_parser *parser, const char *at, std::size_t length);
    static int onFieldValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();
    int headersComplete();
    void recordStatusLine(std::span<const std::byte> bytes);
    bool statusLineWellFormed() const;
    int fail(message_fault fault);
    void countNonBodyBytes(std::size_t length);
    int countHeader(std::size_t length);
    bool inTrailers() const;

    http_parser m_parser{}; ///< State of the http-parser library.
    http_parser_type m_messageKind; ///< Whether requests or answers are parsed.
    message_limits m_limits;
    header_check m_check; ///< Further check of the header section; may be empty.
    received_message m_message; ///< See message().
    message_fault m_fault = message_fault::None; ///< See fault().
    std::array<char, 13> m_statusLine{}; ///< Start of an answer, up to the character that follows the status code.
    std::size_t m_statusLineBytes = 0; ///< Bytes of m_statusLine received so far.
    std::size_t m_headerBytes = 0; ///< Bytes of the target and the header fields so far.
    std::size_t m_nonBodyBytes = 0; ///< Bytes consumed so far that are not part of the body.
    bool m_answersHeadRequest = false; ///< See reset().
    bool m_started = false; ///< See started().
    bool m_headersReceived = false; ///< See headersReceived().
    bool m_complete = false; ///< See complete().
    bool m_valueSeen = false; ///< Whether the last field has a value, so that the next name starts another field.
};

} // namespace guavafront
