#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace guavafront
{

/// Bytes that a peer sends without end.
struct endless_bytes {
    const char *name = ""; ///< Name in the test report.
    std::string begin; ///< Sent once on each connection.
    std::string repeated; ///< Sent again and again afterwards, until the other side closes.
};

/// Instance that answers every connection with bytes without end, as fast as they are taken.
class endless_instance
{
public:
    /// Listens on any free port of the IP number.
    endless_instance(const std::string &ip, endless_bytes bytes);
    ~endless_instance();
    endless_instance(const endless_instance &) = delete;
    endless_instance &operator=(const endless_instance &) = delete;

    /// Port that it listens on.
    std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Callers that send bytes without end, each on one connection after the other.
class endless_callers
{
public:
    endless_callers(const std::string &ip, std::uint16_t port, const endless_bytes &bytes, std::size_t count);
    ~endless_callers();
    endless_callers(const endless_callers &) = delete;
    endless_callers &operator=(const endless_callers &) = delete;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace guavafront
