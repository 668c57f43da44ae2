#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// One part of a prompt; prompts of other requests may begin with the same
/// parts.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// Describes the work that a request asks of a model engine.
struct prompt_description
{
    std::string model;
    std::int64_t input_tokens = 0;
    std::int64_t max_output_tokens = 0;
    /// In the order of the prompt; the last one is unique to the request.
    std::vector<prompt_part> parts;

    /// Returns the maximum number of input and output tokens that the
    /// request can consume. Thread safe.
    [[nodiscard]] std::int64_t max_total_tokens() const
    {
        return input_tokens + max_output_tokens;
    }
};

/// A caller's request after parsing.
struct caller_request
{
    std::string id;
    std::string host;
    /// The path without its query.
    std::string path;
    std::string key;
    /// How long the caller waits, counted from the arrival of its request.
    std::optional<std::chrono::milliseconds> timeout;
    /// The id of the last event that the caller has received of the stream
    /// that it resumes.
    std::optional<std::int64_t> resume_after;
    /// Set for requests to model engines.
    std::optional<prompt_description> prompt;
    /// Set if another router has forwarded the request: the maximum number of
    /// upstreams that it may still be sent to, at least 1. Such a request is
    /// not forwarded again.
    std::optional<std::int32_t> forwarded_attempts;
};

} // namespace turmeric::domain
