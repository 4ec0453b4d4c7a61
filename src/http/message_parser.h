#pragma once

#include "http/http_message.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// One HTTP/1.1 message as it came, whole or in part.
struct received_message {
    std::string method; ///< Of a request, in capitals.
    std::string target; ///< Of a request, as sent.
    int status = 0; ///< Of an answer.
    std::vector<http_header> headers; ///< Without trailers.
    std::vector<std::byte> body; ///< Decoded.
    bool keepAlive = false; ///< The connection may carry another message afterwards.
};

/// Bounds of one message.
struct message_limits {
    std::size_t headerBytes = std::size_t{32} * 1024; ///< First line and header fields.
    std::size_t bodyBytes = std::size_t{1024} * 1024; ///< Decoded body.
};

/// Why a message can't be taken.
enum class message_fault : std::uint8_t {
    None, ///< Nothing is wrong so far.
    Malformed, ///< Not HTTP/1.1, or its framing is in doubt.
    HeaderTooLarge, ///< Over message_limits::headerBytes.
    BodyTooLarge, ///< Over message_limits::bodyBytes.
};

/// Takes bytes of one message after the other (RFC 9112), by http-parser. Each message is checked for well-formed
/// fields and a framing without doubt before its body is read.
class message_parser
{
public:
    /// Called when the header section is whole; false refuses the message as malformed.
    using header_check = std::function<bool(const received_message &)>;

    /// Parser for requests or answers. check may be empty.
    message_parser(http_parser_type kind, message_limits limits, header_check check);
    message_parser(const message_parser &) = delete;
    message_parser &operator=(const message_parser &) = delete;

    /// Takes bytes up to the end of the message at most; the number taken.
    std::size_t consume(std::span<const std::byte> bytes);

    /// The peer has closed in order: an answer without a length is whole now.
    void finish();

    /// Whether the message is whole.
    bool complete() const;

    /// Whether its header section is whole.
    bool headersReceived() const;

    /// Whether some byte of the message has come; empty lines before a request don't count.
    bool started() const;

    /// What is wrong with it.
    message_fault fault() const;

    /// The message, as far as it has come.
    received_message &message();

    /// Begins the next message. answersHead: it answers a HEAD request and has no body.
    void reset(bool answersHeadRequest = false);

    /// Bounds from the next message on.
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
    int fail(message_fault fault);
    void countNonBodyBytes(std::size_t length);
    int countHeader(std::size_t length);
    bool inTrailers() const;

    http_parser m_parser{}; ///< The library's state.
    http_parser_type m_messageKind; ///< Requests or answers.
    message_limits m_limits; ///< Bounds.
    header_check m_check; ///< The owner's.
    received_message m_message; ///< What has come.
    message_fault m_fault = message_fault::None; ///< What is wrong.
    std::size_t m_headerBytes = 0; ///< Of the first line and the fields so far.
    std::size_t m_nonBodyBytes = 0; ///< Read and no part of the body.
    bool m_answersHeadRequest = false; ///< See reset().
    bool m_started = false; ///< See started().
    bool m_headersReceived = false; ///< See headersReceived().
    bool m_complete = false; ///< See complete().
    bool m_valueSeen = false; ///< The last field has a value, so that the next name begins another field.
};

} // namespace guavafront
