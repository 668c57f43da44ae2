#include "libraries/core/metrics/registry.hpp"

namespace turmeric::metrics
{

std::string registry::render() const
{
    std::string out;
    const std::lock_guard lock(m_mutex);
    for (const std::unique_ptr<family_base>& entry : m_families)
    {
        entry->render(out);
    }
    return out;
}

} // namespace turmeric::metrics
