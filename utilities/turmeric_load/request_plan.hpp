#pragma once

#include "utilities/turmeric_load/load_options.hpp"

#include <cstdint>
#include <string>

namespace turmeric::load
{

/// One request and the parameters of the response that it must get.
struct request_plan
{
    std::string id;
    std::string body;
    /// Determines the text of the expected response.
    std::uint64_t prompt_digest = 0;
    /// Length of the expected response.
    std::int64_t tokens = 0;
};

/// Returns request `number` of a run. Equal options give equal requests.
/// Thread safe.
[[nodiscard]] request_plan plan_request(const load_options& options,
                                        std::int64_t number);

/// Returns the bytes of the HTTP request for `plan` to `address`. Thread
/// safe.
[[nodiscard]] std::string write_request(const load_options& options,
                                        const request_plan& plan,
                                        const std::string& address);

} // namespace turmeric::load
