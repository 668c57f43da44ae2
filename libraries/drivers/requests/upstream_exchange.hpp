#pragma once

#include "libraries/core/result.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/drivers/responses/response_buffer.hpp"
#include "libraries/ports/upstream.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::drivers
{

/// Creates the requests to upstreams and reads their responses. One object
/// serves all attempts of a caller's request. Not thread safe.
class upstream_exchange
{
public:
    upstream_exchange() = default;
    upstream_exchange(const upstream_exchange&) = delete;
    upstream_exchange& operator=(const upstream_exchange&) = delete;
    virtual ~upstream_exchange() = default;

    /// Starts an attempt and returns its request. An engine's response resumes
    /// after the pieces read so far. Not thread safe.
    virtual ports::upstream_request
    start_attempt(const std::string& version) = 0;

    /// Accepts the status and headers of the response. An error ends the
    /// attempt; its effect says whether the request may have run. Not thread
    /// safe.
    virtual status accept_head(const ports::upstream_response_head& head) = 0;

    /// Accepts bytes of the body and returns the pieces that no earlier attempt
    /// returned. An error ends the attempt. Not thread safe.
    virtual result<std::vector<std::string>> accept(std::string_view bytes) = 0;

    /// Accepts the end of the body and returns the last pieces, or an error
    /// when the response is not complete. Not thread safe.
    virtual result<std::vector<std::string>> finish_attempt() = 0;

    /// Returns whether another upstream can resume a truncated response. Not
    /// thread safe.
    [[nodiscard]] virtual bool can_resume() const = 0;

    /// Returns the number of tokens delivered so far: those of the pieces that
    /// `accept` returned. Not thread safe.
    [[nodiscard]] virtual domain::tokens delivered() const = 0;

    /// Returns the status and content type for the caller. Precondition:
    /// `accept_head` has succeeded. Not thread safe.
    [[nodiscard]] virtual relayed_response_head head() const = 0;

    /// Returns what to bill for the response read so far. Not thread safe.
    [[nodiscard]] virtual response_end bill() const = 0;
};

} // namespace turmeric::drivers
