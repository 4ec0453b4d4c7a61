#include "endless_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <list>
#include <stdexcept>
#include <thread>

namespace guavafront
{

namespace
{

constexpr int pollMs = 50;
constexpr std::size_t blockBytes = 65'536;

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool isReady(int descriptor, short events)
{
    pollfd waiting{.fd = descriptor, .events = events, .revents = 0};
    return poll(&waiting, 1, pollMs) > 0;
}

/// Sends the bytes until the other side closes.
void sendWithoutEnd(const std::stop_token &stop, int descriptor, const endless_bytes &bytes)
{
    std::string block;
    while (block.size() < blockBytes) {
        block += bytes.repeated;
    }
    const std::string *next = &bytes.begin;
    std::size_t sent = 0;
    while (!stop.stop_requested()) {
        if (sent == next->size()) {
            next = &block;
            sent = 0;
        }
        if (!isReady(descriptor, POLLOUT)) {
            continue;
        }
        const ssize_t count = send(descriptor, next->data() + sent, next->size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

} // namespace

struct endless_instance::implementation {
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::uint16_t port = 0;
    endless_bytes bytes;
    std::list<std::jthread> connections;
    std::jthread acceptor;

    void serve(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            if (!isReady(listener, POLLIN)) {
                continue;
            }
            const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            connections.emplace_back([this, accepted](const std::stop_token &end) {
                sendWithoutEnd(end, accepted, bytes);
                close(accepted);
            });
        }
    }
};

endless_instance::endless_instance(const std::string &ip, endless_bytes bytes)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->bytes = std::move(bytes);
    sockaddr_in address = addressOf(ip, 0);
    auto *general = reinterpret_cast<sockaddr *>(&address);
    socklen_t length = sizeof address;
    constexpr int queueLength = 64;
    if (bind(m_implementation->listener, general, length) != 0
        || listen(m_implementation->listener, queueLength) != 0) {
        throw std::runtime_error("can't listen on " + ip);
    }
    getsockname(m_implementation->listener, general, &length);
    m_implementation->port = ntohs(address.sin_port);
    m_implementation->acceptor = std::jthread([this](const std::stop_token &stop) { m_implementation->serve(stop); });
}

endless_instance::~endless_instance()
{
    m_implementation->acceptor = {};
    m_implementation->connections.clear();
    close(m_implementation->listener);
}

std::uint16_t endless_instance::port() const
{
    return m_implementation->port;
}

struct endless_callers::implementation {
    std::vector<std::jthread> callers;
};

endless_callers::endless_callers(const std::string &ip, std::uint16_t port, const endless_bytes &bytes,
                                 std::size_t count)
    : m_implementation(std::make_unique<implementation>())
{
    for (std::size_t index = 0; index < count; ++index) {
        m_implementation->callers.emplace_back([ip, port, bytes](const std::stop_token &stop) {
            while (!stop.stop_requested()) {
                const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const sockaddr_in address = addressOf(ip, port);
                if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
                    sendWithoutEnd(stop, descriptor, bytes);
                }
                close(descriptor);
                poll(nullptr, 0, pollMs);
            }
        });
    }
}

endless_callers::~endless_callers() = default;

} // namespace guavafront
