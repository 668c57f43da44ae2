#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// What a request asks of the choice of an upstream.
struct choice_request
{
    std::string route;
    /// The version that the upstream must serve.
    std::string version;
    /// Digest of the prompt's first part; equal digests go to the same
    /// upstream while it has room. Nothing for requests without a prompt.
    std::optional<std::uint64_t> prefix;
    /// Data centre that is preferred where all else is equal.
    std::string data_centre;
    /// Upstreams that earlier tries of this request failed at.
    std::vector<std::string> excluded;
};

/// A slot taken at an upstream; give it back by `finish`.
struct upstream_choice
{
    std::string upstream;
    std::string address;
};

/// How a call to an upstream ended, as far as its health goes.
enum class call_result : std::uint8_t
{
    succeeded,
    /// The upstream failed, broke the stream or went silent.
    failed,
    /// The upstream refused because it is full.
    overloaded,
    /// The caller or the router ended the call; says nothing of the upstream.
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

/// What an upstream said of its load some time ago.
struct load_report
{
    std::string upstream;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    ports::steady_time taken;
};

} // namespace turmeric::domain
