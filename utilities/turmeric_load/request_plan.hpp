#pragma once

#include "utilities/turmeric_load/load_options.hpp"

#include <cstdint>
#include <string>

namespace turmeric::load
{

/// One request and the answer that it must get.
struct request_plan
{
    std::string id;
    std::string body;
    std::uint64_t prompt_digest = 0;
    std::int64_t tokens = 0;
};

/// Returns request `number` of a run: the same for the same options. Thread
/// safe.
[[nodiscard]] request_plan plan_request(const load_options& options,
                                        std::int64_t number);

/// Returns the bytes of an HTTP request for `plan`. Thread safe.
[[nodiscard]] std::string write_request(const load_options& options,
                                        const request_plan& plan,
                                        const std::string& address);

} // namespace turmeric::load
