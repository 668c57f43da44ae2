#pragma once

#include <nlohmann/json.hpp>

namespace turmeric
{

/// The JSON value type used throughout the project.
using json = nlohmann::json;

} // namespace turmeric
