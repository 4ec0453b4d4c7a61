#include "daemon/peers/listener.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace guavafront
{

namespace
{

void disableNagle(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Socket address of either address family, parsed from text.
struct socket_address {
    sockaddr_storage storage{}; ///< Parsed address, valid if the flag valid is set.
    int length = sizeof(sockaddr_storage); ///< Size of the address in bytes.
    bool valid = false; ///< The text was parsed successfully.

    explicit socket_address(const std::string &text)
        : valid(evutil_parse_sockaddr_port(text.c_str(), get(), &length) == 0)
    {
    }

    sockaddr *get()
    {
        return reinterpret_cast<sockaddr *>(&storage);
    }
};

/// Creates a socket of the given family and binds it to the IP address of source, "IP:port", if that is of the same
/// family. Returns -1 when no socket can be created.
int boundSocket(int family, const std::string &source)
{
    const int descriptor = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    socket_address from(source.substr(0, source.rfind(':'))); // Without a port, the system chooses a free one.
    if (descriptor >= 0 && !source.empty() && from.valid && from.get()->sa_family == family) {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        if (bind(descriptor, from.get(), static_cast<socklen_t>(from.length)) != 0) {
            VLOG(1) << "can't bind a link to its source address; it leaves from one that the system chooses";
        }
    }
    return descriptor;
}

} // namespace

listener::listener(loop &owner, const std::string &address, std::function<void(bufferevent *)> accepted)
    : m_loop(owner)
    , m_pause(owner, [this] { evconnlistener_enable(m_listener); })
    , m_accepted(std::move(accepted))
{
    // libevent accepts "IP" for any free port, but rejects "IP:0".
    socket_address parsed(address.ends_with(":0") ? address.substr(0, address.size() - 2) : address);
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
    m_listener = parsed.valid ? evconnlistener_new_bind(owner.base(), acceptCallback, this, flags, -1, parsed.get(),
                                                        parsed.length)
                              : nullptr;
    if (!m_listener) {
        throw coordination_error(result_code::SettingInvalid, "can't listen for peers on " + address);
    }
    evconnlistener_set_error_cb(m_listener, errorCallback);
}

listener::~listener()
{
    evconnlistener_free(m_listener);
}

std::uint16_t listener::port() const
{
    sockaddr_storage bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &length);
    const auto *asV6 = reinterpret_cast<const sockaddr_in6 *>(&bound);
    const auto *asV4 = reinterpret_cast<const sockaddr_in *>(&bound);
    return ntohs(bound.ss_family == AF_INET6 ? asV6->sin6_port : asV4->sin_port);
}

void listener::acceptCallback(evconnlistener * /*source*/, int descriptor, sockaddr * /*from*/, int /*length*/,
                              void *self)
{
    auto *owner = static_cast<listener *>(self);
    owner->m_loop.guard([owner, descriptor] {
        disableNagle(descriptor);
        bufferevent *socket = bufferevent_socket_new(owner->m_loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        if (socket) {
            owner->m_accepted(socket);
        } else {
            evutil_closesocket(descriptor);
        }
    });
}

void listener::errorCallback(evconnlistener *source, void *self)
{
    // Without a pause the loop would spin while the process has no file descriptors left: accept() fails, but the
    // connection stays pending.
    constexpr duration pauseAfterError = std::chrono::milliseconds(100);
    evconnlistener_disable(source);
    static_cast<listener *>(self)->m_pause.arm(pauseAfterError);
}

bufferevent *openConnection(loop &owner, const std::string &address, const std::string &source)
{
    socket_address parsed(address);
    if (!parsed.valid) {
        return nullptr;
    }
    const int descriptor = boundSocket(parsed.get()->sa_family, source);
    bufferevent *socket =
        descriptor < 0 ? nullptr : bufferevent_socket_new(owner.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    if (!socket) {
        return nullptr;
    }
    if (bufferevent_socket_connect(socket, parsed.get(), parsed.length) != 0) {
        bufferevent_free(socket);
        return nullptr;
    }
    disableNagle(bufferevent_getfd(socket));
    return socket;
}

} // namespace guavafront
