#include "libraries/adapters/system/system_random.hpp"

namespace turmeric::adapters
{

system_random::system_random()
    : m_engine(std::random_device{}())
{
}

std::uint64_t system_random::next()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_engine();
}

} // namespace turmeric::adapters
