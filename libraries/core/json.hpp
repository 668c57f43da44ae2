#pragma once

#include <nlohmann/json.hpp>

namespace turmeric
{

/// The JSON value type of the whole project.
using json = nlohmann::json;

} // namespace turmeric
