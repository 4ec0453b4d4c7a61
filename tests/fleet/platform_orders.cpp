#include "fleet/platform_processes.h"

#include "http/http_call.h"
#include "http/http_message.h"
#include "runtime/loop.h"
#include "settings/endpoint.h"

#include <guavafront/coordination/core/coordination_error.h>

#include <poll.h>

#include <string>

namespace guavafront
{

namespace
{

constexpr int statusRedirect = 307;
constexpr int firstServerError = 500;
/// Time after which an operator turns to the next control VM.
constexpr duration operatorPatience = std::chrono::seconds(1);

} // namespace

int platform_processes::orderEvacuation(std::string_view call, std::string_view zone) const
{
    constexpr int maxRedirects = 2;
    constexpr std::string_view scheme = "http://";
    const instant end = loop::now() + std::chrono::seconds(4);
    std::string path = "/api/rpc?call=" + std::string(call) + "&of=" + std::string(zone);
    int status = 0;
    for (std::size_t number = 0; loop::now() < end; ++number) {
        endpoint server = controlEndpoint(m_controls[number % m_controls.size()]);
        std::string target = path;
        try {
            for (int redirects = 0; redirects <= maxRedirects; ++redirects) {
                const http_answer answer =
                    httpCall(server, {.method = "POST", .target = target, .body = "", .timeout = operatorPatience});
                status = answer.status;
                const std::string location(headerValue(viewsOf(answer.headers), "Location"));
                if (status != statusRedirect || !location.starts_with(scheme)) {
                    break;
                }
                const std::size_t slash = location.find('/', scheme.size());
                server = parseEndpoint(location.substr(scheme.size(), slash - scheme.size())).value();
                target = location.substr(slash);
            }
        } catch (const coordination_error &) {
            status = 0; // The control VM isn't running, or doesn't answer.
        }
        if (status != 0 && status != statusRedirect && status < firstServerError) {
            return status;
        }
        poll(nullptr, 0, 50);
    }
    return status;
}

} // namespace guavafront
