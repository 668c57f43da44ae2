#include "libraries/codecs/fleet/time_age.hpp"

#include <algorithm>
#include <chrono>

namespace turmeric::codecs
{

namespace
{

/// Older times are reported as this old.
constexpr std::chrono::hours max_age{48};

using std::chrono::milliseconds;

} // namespace

std::int64_t age_of(ports::steady_time at, ports::steady_time now)
{
    const milliseconds age = std::chrono::duration_cast<milliseconds>(now - at);
    return std::clamp(age, milliseconds(0), milliseconds(max_age)).count();
}

std::optional<ports::steady_time> read_age(const json& encoded,
                                           ports::steady_time now)
{
    if (!encoded.is_number_integer())
    {
        return std::nullopt;
    }
    const std::int64_t age = encoded.get<std::int64_t>();
    if (age < 0 || age > milliseconds(max_age).count())
    {
        return std::nullopt;
    }
    return now - milliseconds(age);
}

} // namespace turmeric::codecs
