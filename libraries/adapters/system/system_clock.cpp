#include "libraries/adapters/system/system_clock.hpp"

namespace turmeric::adapters
{

ports::steady_time system_clock::steady_now() const
{
    return std::chrono::steady_clock::now();
}

ports::system_time system_clock::system_now() const
{
    return std::chrono::system_clock::now();
}

} // namespace turmeric::adapters
