#include "libraries/fakes/manual_clock.hpp"

#include <cassert>

namespace turmeric::fakes
{

ports::steady_time manual_clock::steady_now() const
{
    return m_steady;
}

ports::system_time manual_clock::system_now() const
{
    return m_system;
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    assert(step.count() >= 0);
    m_steady += std::chrono::duration_cast<ports::steady_time::duration>(step);
    m_system += std::chrono::duration_cast<ports::system_time::duration>(step);
}

void manual_clock::adjust_system_time(std::chrono::nanoseconds step)
{
    m_system += std::chrono::duration_cast<ports::system_time::duration>(step);
}

} // namespace turmeric::fakes
