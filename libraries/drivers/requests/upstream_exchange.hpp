#pragma once

#include "libraries/core/result.hpp"
#include "libraries/drivers/answers/answer_record.hpp"
#include "libraries/drivers/requests/request_context.hpp"
#include "libraries/ports/upstream.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::drivers
{

/// How a request is put to an upstream and how its answer is read; one object
/// for all attempts of a request. Not thread safe.
class upstream_exchange
{
public:
    upstream_exchange() = default;
    upstream_exchange(const upstream_exchange&) = delete;
    upstream_exchange& operator=(const upstream_exchange&) = delete;
    virtual ~upstream_exchange() = default;

    /// Starts an attempt and makes its request; an engine goes on after the
    /// pieces read so far. Not thread safe.
    virtual ports::upstream_request
    start_attempt(const std::string& version) = 0;

    /// Takes what the upstream says first. An error ends the attempt; its
    /// effect says whether the request may have run. Not thread safe.
    virtual status accept_head(const ports::upstream_response_head& head) = 0;

    /// Takes bytes and returns the pieces that are new. An error ends the
    /// attempt. Not thread safe.
    virtual result<std::vector<std::string>> accept(std::string_view bytes) = 0;

    /// Takes the end of an attempt and returns the last pieces; an error when
    /// the answer is not whole. Not thread safe.
    virtual result<std::vector<std::string>> finish_attempt() = 0;

    /// Tells whether a broken answer can go on elsewhere. Not thread safe.
    [[nodiscard]] virtual bool can_resume() const = 0;

    /// Returns the pieces given out so far. Not thread safe.
    [[nodiscard]] virtual domain::tokens delivered() const = 0;

    /// Returns the status and content type for the caller. Precondition: a
    /// head was accepted. Not thread safe.
    [[nodiscard]] virtual answer_head head() const = 0;

    /// Returns what to bill for the answer read so far. Not thread safe.
    [[nodiscard]] virtual answer_end bill() const = 0;
};

} // namespace turmeric::drivers
