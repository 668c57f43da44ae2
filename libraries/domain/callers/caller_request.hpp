#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// One part of a prompt that other requests may begin with as well.
struct prompt_part
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// What a request asks of a model engine.
struct prompt_description
{
    std::string model;
    std::int64_t input_tokens = 0;
    std::int64_t max_output_tokens = 0;
    /// In the order of the prompt; the last one is the request's own.
    std::vector<prompt_part> parts;

    /// Returns the most tokens that the request can consume. Thread safe.
    [[nodiscard]] std::int64_t max_total_tokens() const
    {
        return input_tokens + max_output_tokens;
    }
};

/// A caller's request as the router understands it.
struct caller_request
{
    std::string id;
    std::string host;
    /// The path without its query.
    std::string path;
    std::string key;
    /// How long the caller waits from the arrival of its request.
    std::optional<std::chrono::milliseconds> timeout;
    /// The last event that the caller has of a stream that it resumes.
    std::optional<std::int64_t> resume_after;
    /// Set for requests to model engines.
    std::optional<prompt_description> prompt;
};

} // namespace turmeric::domain
