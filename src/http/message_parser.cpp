#include "http/message_parser.h"

#include "http/message_check.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace guavafront
{

namespace
{

constexpr int firstStatus = 100;
constexpr int lastStatus = 599;
constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;
constexpr std::size_t fieldOverheadBytes = 4; // Colon, space and line end of one field.
constexpr std::size_t nonBodySlackBytes = 1'024; // Parts of the first line besides the target, spaces and empty lines.
constexpr std::size_t nonBodyBytesPerBodyByte = 32; // Size, extensions and line ends of a chunk with one byte of body.

std::string trimmed(std::string_view value)
{
    const std::size_t first = value.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(value.substr(first, value.find_last_not_of(" \t") - first + 1));
}

} // namespace

message_parser::message_parser(http_parser_type kind, message_limits limits, header_check check)
    : m_messageKind(kind)
    , m_limits(limits)
    , m_check(std::move(check))
{
    // http-parser has one limit for the whole process; message_limits applies to each message instead.
    http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
    reset();
}

void message_parser::reset(bool answersHeadRequest)
{
    http_parser_init(&m_parser, m_messageKind);
    m_parser.data = this;
    m_message = {};
    m_fault = message_fault::None;
    m_answersHeadRequest = answersHeadRequest;
    m_started = false;
    m_headersReceived = false;
    m_complete = false;
    m_valueSeen = false;
    m_statusLineBytes = 0;
    m_headerBytes = 0;
    m_nonBodyBytes = 0;
}

void message_parser::setLimits(const message_limits &limits)
{
    m_limits = limits;
}

const http_parser_settings &message_parser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = onTarget;
        made.on_header_field = onFieldName;
        made.on_header_value = onFieldValue;
        made.on_headers_complete = onHeadersComplete;
        made.on_body = onBody;
        made.on_message_complete = onMessageComplete;
        return made;
    }();
    return settings;
}

std::size_t message_parser::consume(std::span<const std::byte> bytes)
{
    std::size_t skipped = 0;
    // RFC 9112 section 2.2: empty lines before a request are ignored.
    if (!m_started && m_messageKind == HTTP_REQUEST) {
        while (skipped < bytes.size() && (bytes[skipped] == std::byte{'\r'} || bytes[skipped] == std::byte{'\n'})) {
            ++skipped;
        }
    }
    countNonBodyBytes(skipped);
    if (skipped == bytes.size() || m_complete || m_fault != message_fault::None) {
        return skipped;
    }
    m_started = true;
    const std::span<const std::byte> rest = bytes.subspan(skipped);
    recordStatusLine(rest);
    const std::size_t bodyBefore = m_message.body.size();
    const std::size_t taken =
        http_parser_execute(&m_parser, &callbacks(), reinterpret_cast<const char *>(rest.data()), rest.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED && m_fault == message_fault::None) {
        m_fault = message_fault::Malformed;
    }
    countNonBodyBytes(taken - std::min(taken, m_message.body.size() - bodyBefore));
    return skipped + taken;
}

/// Keeps the start of an answer's first line, since http-parser gives the status only as a number: "0200" and "20"
/// would pass for status codes.
void message_parser::recordStatusLine(std::span<const std::byte> bytes)
{
    if (m_messageKind != HTTP_RESPONSE) {
        return;
    }
    for (const std::byte each : bytes) {
        if (m_statusLineBytes == m_statusLine.size()) {
            return;
        }
        const char letter = static_cast<char>(each);
        const bool lineEndBefore = m_statusLineBytes == 0 && (letter == '\r' || letter == '\n');
        if (!lineEndBefore) {
            m_statusLine[m_statusLineBytes++] = letter;
        }
    }
}

/// Whether the answer's first line has a status of RFC 9110 section 15: exactly three digits, from 100 to 599.
bool message_parser::statusLineWellFormed() const
{
    constexpr std::size_t codeAt = 9; // Behind "HTTP/1.1 ".
    constexpr std::size_t codeLength = 3;
    const std::string_view line(m_statusLine.data(), m_statusLineBytes);
    if (line.size() < m_statusLine.size() || line[codeAt - 1] != ' ') {
        return false;
    }
    const std::string_view code = line.substr(codeAt, codeLength);
    const bool digits = std::ranges::all_of(code, [](char each) { return each >= '0' && each <= '9'; });
    const char next = line[codeAt + codeLength];
    const auto status = static_cast<int>(m_parser.status_code);
    return digits && (next == ' ' || next == '\r' || next == '\n') && status >= firstStatus && status <= lastStatus;
}

/// Limits the bytes that are read but not stored, such as a reason phrase, chunk extensions or trailers.
void message_parser::countNonBodyBytes(std::size_t length)
{
    m_nonBodyBytes += length;
    const std::size_t limit =
        m_limits.headerBytes + nonBodySlackBytes + nonBodyBytesPerBodyByte * m_message.body.size();
    if (m_nonBodyBytes > limit && m_fault == message_fault::None && !m_complete) {
        m_fault = message_fault::HeaderTooLarge;
    }
}

void message_parser::finish()
{
    if (m_started && !m_complete && m_fault == message_fault::None) {
        http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    }
}

bool message_parser::complete() const
{
    return m_complete;
}

bool message_parser::headersReceived() const
{
    return m_headersReceived;
}

bool message_parser::started() const
{
    return m_started;
}

message_fault message_parser::fault() const
{
    return m_fault;
}

received_message &message_parser::message()
{
    return m_message;
}

message_parser &message_parser::self(http_parser *parser)
{
    return *static_cast<message_parser *>(parser->data);
}

int message_parser::fail(message_fault fault)
{
    m_fault = fault;
    return -1;
}

int message_parser::countHeader(std::size_t length)
{
    m_headerBytes += length;
    return m_headerBytes > m_limits.headerBytes ? fail(message_fault::HeaderTooLarge) : 0;
}

bool message_parser::inTrailers() const
{
    return m_headersReceived;
}

int message_parser::onTarget(http_parser *parser, const char *at, std::size_t length)
{
    message_parser &owner = self(parser);
    owner.m_message.target.append(at, length);
    return owner.countHeader(length);
}

int message_parser::onFieldName(http_parser *parser, const char *at, std::size_t length)
{
    message_parser &owner = self(parser);
    if (owner.inTrailers()) {
        return 0; // Trailers are discarded, as RFC 9110 section 6.5 allows.
    }
    std::vector<http_header> &headers = owner.m_message.headers;
    if (headers.empty() || owner.m_valueSeen) {
        headers.emplace_back();
        owner.m_valueSeen = false;
    }
    headers.back().name.append(at, length);
    return owner.countHeader(length + fieldOverheadBytes);
}

int message_parser::onFieldValue(http_parser *parser, const char *at, std::size_t length)
{
    message_parser &owner = self(parser);
    if (owner.inTrailers()) {
        return 0;
    }
    owner.m_message.headers.back().value.append(at, length);
    owner.m_valueSeen = true;
    return owner.countHeader(length);
}

int message_parser::onHeadersComplete(http_parser *parser)
{
    return self(parser).headersComplete();
}

int message_parser::headersComplete()
{
    constexpr int skipBody = 1;
    m_headersReceived = true;
    m_parser.upgrade = 0; // This program offers no other protocol, so the bytes after the headers are HTTP.
    for (http_header &field : m_message.headers) {
        field.value = trimmed(field.value);
    }
    const std::vector<header_view> views = viewsOf(m_message.headers);
    if (m_parser.http_major != 1 || !fieldsWellFormed(views) || !framingWellFormed(views)) {
        return fail(message_fault::Malformed);
    }
    if (m_messageKind == HTTP_REQUEST) {
        m_message.method = http_method_str(static_cast<http_method>(m_parser.method));
    } else if (statusLineWellFormed()) {
        m_message.status = m_parser.status_code;
    } else {
        return fail(message_fault::Malformed);
    }
    m_message.keepAlive = http_should_keep_alive(&m_parser) != 0;
    if (m_check && !m_check(m_message)) {
        return fail(message_fault::Malformed);
    }
    const bool hasContentLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (hasContentLength && !m_answersHeadRequest && m_parser.content_length > m_limits.bodyBytes) {
        return fail(message_fault::BodyTooLarge);
    }
    const int status = m_message.status;
    const bool bodiless = m_answersHeadRequest || status == noContent || status == notModified
                          || (m_messageKind == HTTP_RESPONSE && status < firstFinalStatus);
    return bodiless ? skipBody : 0;
}

int message_parser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    message_parser &owner = self(parser);
    std::vector<std::byte> &body = owner.m_message.body;
    if (body.size() + length > owner.m_limits.bodyBytes) {
        return owner.fail(message_fault::BodyTooLarge);
    }
    const auto *first = reinterpret_cast<const std::byte *>(at);
    body.insert(body.end(), first, first + length);
    return 0;
}

int message_parser::onMessageComplete(http_parser *parser)
{
    self(parser).m_complete = true;
    http_parser_pause(parser, 1); // The bytes that follow belong to the next message.
    return 0;
}

} // namespace guavafront
