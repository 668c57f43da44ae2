#pragma once

#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace turmeric::domain
{

/// How many retries all routers together may make.
struct retry_rate_limits
{
    /// Retries for each request, within any window.
    double ratio = 0.1;
    /// Further retries of all routers together, within any window.
    double slack = 10;
    std::chrono::milliseconds window{10'000};

    bool operator==(const retry_rate_limits&) const = default;
};

/// Enforces one router's part of the fleet's limit of retries, for each
/// service. Within any window the router's retries stay below the ratio of its
/// own requests plus its share of the slack. The sum over all routers therefore
/// stays within the limit, however the requests are spread among them. Not
/// thread safe.
class retry_rate_limiter
{
public:
    /// No precondition.
    explicit retry_rate_limiter(const retry_rate_limits& limits);

    /// Sets how many routers share the slack. Precondition: at least 1.
    void set_routers(std::int64_t routers);

    /// Counts a request to a service.
    void record_request(const std::string& service, ports::steady_time now);

    /// Counts one retry, or returns false when the limit does not allow it.
    bool try_acquire(const std::string& service, ports::steady_time now);

private:
    struct interval
    {
        std::int64_t number = 0;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    interval& current(const std::string& service, ports::steady_time now);

    retry_rate_limits m_limits;
    std::int64_t m_routers = 1;
    std::map<std::string, std::deque<interval>> m_services;
};

} // namespace turmeric::domain
