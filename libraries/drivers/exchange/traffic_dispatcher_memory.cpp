#include "libraries/drivers/exchange/traffic_dispatcher.hpp"

namespace turmeric::drivers
{

namespace
{

/// Bodies leave memory as their requests end.
constexpr std::chrono::milliseconds memory_retry_after{1'000};

} // namespace

std::optional<error> traffic_dispatcher::find_memory_refusal() const
{
    const memory_budget* const memory = m_state.dependencies.memory;
    if (memory == nullptr ||
        memory->has_room(0, m_state.settings.exchange_bytes))
    {
        return std::nullopt;
    }
    return error{result_code::memory_full, "",
                 "this router has no memory left for a request now",
                 outcome::not_run, memory_retry_after};
}

std::optional<error>
traffic_dispatcher::find_body_refusal(const ports::received_request& request)
{
    switch (request.refusal)
    {
    case ports::body_refusal::none:
        return std::nullopt;
    case ports::body_refusal::no_memory_now:
        return error{result_code::memory_full, "body",
                     "this router has no memory left for the request's body "
                     "now",
                     outcome::not_run, memory_retry_after};
    case ports::body_refusal::exceeds_memory:
        // No Retry-After: the body does not fit later either.
        return error{result_code::memory_full, "body",
                     "the request's body exceeds this router's memory for "
                     "bodies"};
    }
    return std::nullopt;
}

} // namespace turmeric::drivers
