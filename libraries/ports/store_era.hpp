#pragma once

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace turmeric::ports
{

/// Numbers the times that the store was restored from a copy. A restored store
/// has lost its latest changes and gives out their revisions and lease numbers
/// again, so that these identify something only within one era. 0 means that
/// the store reports no era.
using store_era = std::int64_t;

/// The largest era that is plausible. Leaves room for eras that are times in
/// microseconds.
inline constexpr store_era max_store_era = 10'000'000'000'000'000;

/// Keeps the latest era that is known of a store, and announces each new one.
/// Not thread safe.
class store_era_tracker
{
public:
    /// Is called with the new era.
    using listener = std::function<void(store_era)>;

    /// Returns the latest era known; 0 before the first response.
    [[nodiscard]] store_era current() const
    {
        return m_current;
    }

    /// Calls `on_new_era` whenever the store turns out to be restored. The
    /// first era to be known is not announced. Precondition: what the listener
    /// refers to outlives the tracker's use.
    void add_listener(listener on_new_era)
    {
        m_listeners.push_back(std::move(on_new_era));
    }

    /// Records an era that a response or a peer has named; 0 if it named none.
    /// An era beyond `max_store_era` counts as none.
    /// Returns false if the era is over: a response of that era tells nothing
    /// of the present store.
    bool observe(store_era era)
    {
        if (era == 0 || era == m_current || era > max_store_era)
        {
            return true;
        }
        if (era < m_current)
        {
            return false;
        }
        const store_era previous = std::exchange(m_current, era);
        if (previous == 0)
        {
            return true;
        }
        for (const listener& on_new_era : m_listeners)
        {
            on_new_era(era);
        }
        return true;
    }

private:
    store_era m_current = 0;
    std::vector<listener> m_listeners;
};

} // namespace turmeric::ports
