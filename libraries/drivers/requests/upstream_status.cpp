#include "libraries/drivers/requests/upstream_status.hpp"

#include <string>

namespace turmeric::drivers
{

error error_from_status(int status)
{
    constexpr int not_found = 404;
    constexpr int too_many_requests = 429;
    constexpr int unavailable = 503;
    std::string detail =
        "the upstream responded with HTTP status " + std::to_string(status);
    switch (status)
    {
    case too_many_requests:
    case unavailable:
        return {result_code::upstream_overloaded, "upstream", detail};
    case not_found:
        return {result_code::upstream_failed, "upstream", detail};
    default:
        return {result_code::upstream_failed, "upstream", detail,
                outcome::outcome_unknown};
    }
}

} // namespace turmeric::drivers
