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

/// Accepts TCP connections on one address. Loop's thread only.
class listener
{
public:
    /// Listens on "IP:port" (port 0: any free one) and hands each connection over as an owned bufferevent. Throws
    /// coordination_error (SettingInvalid) when the address can't be parsed or bound.
    listener(loop &owner, const std::string &address, std::function<void(bufferevent *)> accepted);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    /// Port in use.
    std::uint16_t port() const;

private:
    static void acceptCallback(evconnlistener *source, int descriptor, sockaddr *from, int length, void *self);

    static void errorCallback(evconnlistener *source, void *self);

    loop &m_loop; ///< Not owned.
    timer m_pause; ///< Ends the pause after a failed accept.
    std::function<void(bufferevent *)> m_accepted; ///< The owner's.
    evconnlistener *m_listener; ///< Owned.
};

/// Opens a connection to "IP:port"; the result is owned by the caller, null when the address can't be parsed or the
/// connection fails at once. It leaves from the IP number of source, "IP:port", when that is of the same family; empty
/// leaves the choice to the system.
bufferevent *openConnection(loop &owner, const std::string &address, const std::string &source = {});

} // namespace guavafront
