#pragma once

#include "libraries/core/result.hpp"

#include <cxxopts.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace turmeric::load
{

/// The command line of turmeric_load.
struct load_options
{
    /// "host:port" of routers to ask for addresses, or of engines if direct.
    std::vector<std::string> targets;
    bool is_direct = false;
    /// The route, or the version if direct.
    std::string route = "chat";
    std::string key;
    std::string budget;
    std::size_t concurrency = 1;
    std::int64_t requests = std::numeric_limits<std::int64_t>::max();
    std::chrono::milliseconds duration = std::chrono::hours(24);
    /// The range of the requested response lengths, in tokens.
    std::int64_t min_tokens = 50;
    std::int64_t max_tokens = 50;
    bool is_streamed = true;
    bool keeps_connections = true;
    /// Attempts for each request, all with the same Idempotency-Key.
    int max_attempts = 1;
    /// The percentage of callers that read slowly.
    double slow_percent = 0;
    std::int64_t read_bytes_per_second = 0;
    std::size_t prompt_bytes = 64;
    /// The number of shared texts of which each prompt begins with one; 0
    /// means no shared texts.
    std::size_t prefix_groups = 0;
    std::size_t prefix_bytes = 0;
    std::uint64_t seed = 1;
    /// An attempt fails when it receives no data for this time.
    std::chrono::milliseconds idle_timeout{60'000};
    bool is_json = false;
};

/// Adds the tool's options to a command line.
void add_load_options(cxxopts::Options& options);

/// Reads the command line. Errors: `bad_argument` naming the option.
result<load_options> read_load_options(const cxxopts::ParseResult& arguments);

} // namespace turmeric::load
