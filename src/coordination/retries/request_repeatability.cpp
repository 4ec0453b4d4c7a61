#include <guavafront/coordination/retries/request_repeatability.h>

#include <algorithm>
#include <array>

namespace guavafront
{

bool isRepeatable(repeatability rule, std::string_view method)
{
    constexpr std::array<std::string_view, 6> idempotent{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
    switch (rule) {
    case repeatability::Repeatable:
        return true;
    case repeatability::NotRepeatable:
        return false;
    case repeatability::ByMethod:
        break;
    }
    return std::ranges::find(idempotent, method) != idempotent.end();
}

} // namespace guavafront
