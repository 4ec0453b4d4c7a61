#pragma once

#include "runtime/timer.h"

#include <cstdint>
#include <functional>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace guavafront
{

/// Accepts TCP connections on one address. Use it on the loop's thread only.
class listener
{
public:
    /// Listens on address, "IP:port", where port 0 stands for any free port. Calls accepted with each new connection,
    /// which then owns the bufferevent. Throws coordination_error (SettingInvalid) when the address can't be parsed or
    /// bound.
    listener(loop &owner, const std::string &address, std::function<void(bufferevent *)> accepted);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Returns the port that the listener is bound to.
    std::uint16_t port() const;

private:
    static void acceptCallback(evconnlistener *source, int descriptor, sockaddr *from, int length, void *self);

    static void errorCallback(evconnlistener *source, void *self);

    loop &m_loop; ///< Loop that accepts the connections; not owned.
    timer m_pause; ///< Re-enables the listener after the pause that follows a failed accept.
    std::function<void(bufferevent *)> m_accepted; ///< Called with each accepted connection.
    evconnlistener *m_listener; ///< libevent listener; owned.
};

/// Opens a connection to address, "IP:port". The caller owns the result, which is null when the address can't be parsed
/// or the connection fails at once. The connection is bound to the IP address of source, "IP:port", if it is of the
/// same address family; with an empty source the system chooses the local address.
bufferevent *openConnection(loop &owner, const std::string &address, const std::string &source = {});

} // namespace guavafront
