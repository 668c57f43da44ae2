#include "libraries/core/metrics/registry.hpp"

#include <algorithm>
#include <vector>

namespace turmeric::metrics
{

registry::~registry()
{
    entry* next = m_newest.load(std::memory_order_relaxed);
    while (next != nullptr)
    {
        const std::unique_ptr<entry> owned(next);
        next = owned->next;
    }
}

void registry::add(std::unique_ptr<family_base> new_family)
{
    auto added = std::make_unique<entry>();
    added->owned = std::move(new_family);
    added->next = m_newest.load(std::memory_order_relaxed);
    while (!m_newest.compare_exchange_weak(added->next, added.get(),
                                           std::memory_order_acq_rel))
    {
    }
    static_cast<void>(added.release());
}

std::string registry::render() const
{
    std::vector<const family_base*> families;
    for (const entry* next = m_newest.load(std::memory_order_acquire);
         next != nullptr; next = next->next)
    {
        families.push_back(next->owned.get());
    }
    std::reverse(families.begin(), families.end());
    std::string out;
    for (const family_base* const item : families)
    {
        item->render(out);
    }
    return out;
}

} // namespace turmeric::metrics
