#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// What a request requires of the upstream that is chosen for it.
struct choice_request
{
    std::string route;
    /// The version that the upstream must serve.
    std::string version;
    /// Digest of the prompt's first part; requests with equal digests are sent
    /// to the same upstream while it has free slots. Empty for requests
    /// without a prompt.
    std::optional<std::uint64_t> prefix;
    /// Data centre whose upstreams are preferred among otherwise equal ones.
    std::string data_centre;
    /// Upstreams at which earlier attempts of this request failed.
    std::vector<std::string> excluded;
};

/// A slot that is reserved at an upstream; `finish` releases it.
struct upstream_choice
{
    std::string upstream;
    std::string address;
};

/// How a call to an upstream ended, for the assessment of its health.
enum class call_result : std::uint8_t
{
    succeeded,
    /// The upstream failed, aborted the stream or stopped sending.
    failed,
    /// The upstream refused because it is full.
    overloaded,
    /// The caller or the router ended the call, so that it does not affect the
    /// health of the upstream.
    cancelled,
};

/// Returns the result's name. Thread safe.
[[nodiscard]] constexpr std::string_view name_of(call_result value)
{
    switch (value)
    {
    case call_result::succeeded:
        return "succeeded";
    case call_result::failed:
        return "failed";
    case call_result::overloaded:
        return "overloaded";
    case call_result::cancelled:
        return "cancelled";
    }
    return "unknown";
}

/// The load that an upstream reported at some time in the past.
struct load_report
{
    std::string upstream;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    /// When the load was measured.
    ports::steady_time taken_at;
};

} // namespace turmeric::domain
