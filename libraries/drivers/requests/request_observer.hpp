#pragma once

#include "libraries/core/error.hpp"
#include "libraries/domain/move/request_observation.hpp"
#include "libraries/drivers/requests/request_context.hpp"

#include <optional>
#include <string>

namespace turmeric::drivers
{

/// The outcome of a request, for counters and logs.
struct request_summary
{
    std::string version;
    std::string upstream;
    std::optional<error> failure;
    domain::tokens billed = 0;
    domain::tokens delivered = 0;
    std::int32_t attempts = 0;
    domain::request_observation timing;
};

/// Is notified of events of all requests. Implementations are thread safe.
class request_observer
{
public:
    request_observer() = default;
    request_observer(const request_observer&) = delete;
    request_observer& operator=(const request_observer&) = delete;
    virtual ~request_observer() = default;

    /// Called when a request has ended. Thread safe.
    virtual void on_end(const request_context& request,
                        const request_summary& summary) = 0;

    /// Called before a request is retried from the token at `offset` on;
    /// `failure` is that of the last attempt. Thread safe.
    virtual void on_retry(const request_context& request, const error& failure,
                          std::int64_t offset) = 0;

    /// Called when a stream is parked: its upstream is released while it waits
    /// for its slow reader. Thread safe.
    virtual void on_park(const request_context& request) = 0;
};

} // namespace turmeric::drivers
