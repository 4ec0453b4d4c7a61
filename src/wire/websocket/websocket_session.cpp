#include "wire/websocket/websocket_session.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

#include <utility>

namespace guavafront
{

namespace
{

/// websocketpp configuration for its iostream transport on a single thread, with small buffers and no log output.
struct session_config : websocketpp::config::core_client {
    using type = session_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    [[maybe_unused]] static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)

    struct transport_config : websocketpp::config::core_client::transport_config {
        using concurrency_type = session_config::concurrency_type;
        using elog_type = session_config::elog_type;
        using alog_type = session_config::alog_type;
        [[maybe_unused]] static const bool enable_multithreading = false; // NOLINT(readability-identifier-naming)
    };

    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none; // NOLINT
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none; // NOLINT
    static const std::size_t connection_read_buffer_size = 4096; // NOLINT(readability-identifier-naming)
    static const std::size_t max_http_body_size = 4096; // NOLINT(readability-identifier-naming)
};

using client_endpoint = websocketpp::client<session_config>;
using server_endpoint = websocketpp::server<session_config>;
using connection_type = websocketpp::connection<session_config>;
using message_ptr = connection_type::message_ptr;

constexpr const char *sessionUri = "ws://peer/guavafront";
/// Header in which both ends of the upgrade name what their version of the program can do.
constexpr const char *abilityHeader = "Guavafront-Link";
constexpr const char *resumesLinks = "resume";

} // namespace

struct websocket_session::implementation {
    std::unique_ptr<client_endpoint> client; ///< Endpoint of a client; null for a server.
    std::unique_ptr<server_endpoint> server; ///< Endpoint of a server; null for a client.
    connection_type::ptr connection; ///< The one connection of the endpoint.
    websocket_events events; ///< Callbacks to the owner.
    bool ended = false; ///< Whether the failed callback was called or the session is being destroyed.

    /// Creates the endpoint and its connection.
    void create(websocket_role role)
    {
        websocketpp::lib::error_code error;
        if (role == websocket_role::Client) {
            client = std::make_unique<client_endpoint>();
            connection = client->get_connection(sessionUri, error);
            connection->append_header(abilityHeader, resumesLinks);
        } else {
            server = std::make_unique<server_endpoint>();
            connection = server->get_connection();
            connection->set_validate_handler([this](auto &&) {
                connection->append_header(abilityHeader, resumesLinks);
                return true;
            });
        }
    }

    /// Calls the failed callback, once.
    void reportFailure()
    {
        if (!std::exchange(ended, true)) {
            const bool tooLarge = connection->get_ec() == websocketpp::processor::error::message_too_big
                                  || connection->get_local_close_code() == websocketpp::close::status::message_too_big;
            events.failed(tooLarge);
        }
    }

    /// Makes the connection's handlers call the owner's callbacks.
    void installHandlers()
    {
        connection->set_write_handler([this](auto &&, const char *bytes, std::size_t count) {
            if (!ended) {
                events.write({bytes, count});
            }
            return websocketpp::lib::error_code();
        });
        connection->set_open_handler([this](auto &&) { events.opened(); });
        connection->set_message_handler([this](auto &&, const message_ptr &message) {
            if (!ended) {
                events.received(message->get_payload());
            }
        });
        connection->set_pong_handler([this](auto &&, const std::string &payload) {
            if (!ended && events.answered) {
                events.answered(payload);
            }
        });
        connection->set_close_handler([this](auto &&) { reportFailure(); });
        connection->set_fail_handler([this](auto &&) { reportFailure(); });
    }
};

websocket_session::websocket_session(websocket_role role, std::size_t maxMessageBytes, websocket_events events)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->events = std::move(events);
    m_implementation->create(role);
    m_implementation->connection->set_max_message_size(maxMessageBytes);
    m_implementation->installHandlers();
}

websocket_session::~websocket_session()
{
    m_implementation->ended = true;
    // websocketpp's pending read keeps the connection alive; an end of input completes the read and releases it.
    m_implementation->connection->eof();
}

void websocket_session::start()
{
    if (m_implementation->client) {
        m_implementation->client->connect(m_implementation->connection);
    } else {
        m_implementation->connection->start();
    }
}

void websocket_session::receive(std::string_view bytes)
{
    const std::size_t taken = m_implementation->connection->read_all(bytes.data(), bytes.size());
    if (taken < bytes.size()) {
        m_implementation->reportFailure();
    }
}

bool websocket_session::send(std::string_view message)
{
    if (m_implementation->ended) {
        return false;
    }
    return !m_implementation->connection->send(message.data(), message.size(), websocketpp::frame::opcode::binary);
}

void websocket_session::ping(std::string_view payload)
{
    websocketpp::lib::error_code ignored;
    m_implementation->connection->ping(std::string(payload), ignored);
}

bool websocket_session::peerResumesLinks() const
{
    const connection_type::ptr &connection = m_implementation->connection;
    const std::string &abilities = m_implementation->client ? connection->get_response_header(abilityHeader)
                                                            : connection->get_request_header(abilityHeader);
    return abilities == resumesLinks;
}

} // namespace guavafront
