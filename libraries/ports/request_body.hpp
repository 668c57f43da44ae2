#pragma once

#include "libraries/core/memory_budget.hpp"

#include <string>

namespace turmeric::ports
{

/// The body of a request in flight, with the memory that it takes. The request
/// and its calls to upstreams share it.
struct request_body
{
    std::string bytes;
    memory_reservation memory;
};

} // namespace turmeric::ports
