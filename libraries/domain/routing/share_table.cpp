#include "libraries/domain/routing/share_table.hpp"

#include "libraries/domain/digest.hpp"
#include "libraries/domain/routing/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace turmeric::domain
{

namespace
{

// A router may own up to 5/4 of the even share. The margin keeps small the
// number of slots that change owners when a router joins or leaves, and still
// no router gets far less than the even share.
constexpr std::int64_t share_limit_numerator = 5;
constexpr std::int64_t share_limit_denominator = 4;

bool is_below_share_limit(std::int64_t owned, std::int64_t hashed_slots,
                          std::int64_t routers)
{
    return owned * share_limit_denominator * routers <
           hashed_slots * share_limit_numerator;
}

std::uint16_t owner_of_hashed_slot(std::uint64_t key, std::int64_t hashed_slots,
                                   const std::vector<std::uint64_t>& routers,
                                   const std::vector<std::int32_t>& owned)
{
    std::int64_t count = static_cast<std::int64_t>(routers.size());
    std::optional<std::size_t> best;
    std::uint64_t best_rank = 0;
    for (std::size_t index = 0; index < routers.size(); ++index)
    {
        if (!is_below_share_limit(owned[index], hashed_slots, count))
        {
            continue;
        }
        std::uint64_t rank = rank_of(key, routers[index]);
        if (!best || rank > best_rank)
        {
            best = index;
            best_rank = rank;
        }
    }
    return static_cast<std::uint16_t>(best.value_or(0));
}

} // namespace

std::size_t max_hashed_slots(std::size_t routers)
{
    // In a large fleet few routers share an upstream. Each of them then has
    // several slots there, so that requests with one prompt prefix can stay
    // at one upstream.
    constexpr std::size_t max_small_fleet = 32;
    constexpr std::size_t hashed_slots_in_large_fleet = 8;
    return routers <= max_small_fleet ? SIZE_MAX : hashed_slots_in_large_fleet;
}

std::vector<std::uint16_t>
owners_of_slots(std::uint64_t upstream, std::int32_t capacity,
                const std::vector<std::uint64_t>& routers)
{
    assert(!routers.empty());
    std::size_t slots = static_cast<std::size_t>(std::max(capacity, 0));
    std::size_t hashed_slots =
        std::min(slots, max_hashed_slots(routers.size()));
    std::vector<std::uint16_t> owners;
    owners.reserve(slots);
    std::vector<std::int32_t> owned(routers.size(), 0);
    for (std::size_t slot = 0; slot < hashed_slots; ++slot)
    {
        std::uint64_t key = rank_of(upstream, slot + 1);
        std::uint16_t owner = owner_of_hashed_slot(
            key, static_cast<std::int64_t>(slot) + 1, routers, owned);
        ++owned[owner];
        owners.push_back(owner);
    }
    for (std::size_t slot = hashed_slots; slot < slots; ++slot)
    {
        owners.push_back(owners[slot % hashed_slots]);
    }
    return owners;
}

share_table::share_table(std::string router)
    : m_router(std::move(router))
{
}

bool share_table::update(const epoch_record& record,
                         const epoch_acknowledgements& acknowledged)
{
    if (record.revision < m_revision)
    {
        return false;
    }
    std::vector<epoch_state> epochs;
    for (const router_epoch& epoch : record.epochs)
    {
        auto existing = std::find_if(m_epochs.begin(), m_epochs.end(),
                                     [&epoch](const epoch_state& state)
                                     { return state.epoch == epoch; });
        if (existing != m_epochs.end())
        {
            epochs.push_back(std::move(*existing));
            continue;
        }
        epoch_state state{epoch, {}, {}};
        for (const std::string& router : epoch.routers)
        {
            state.digests.push_back(digest_of(router));
        }
        epochs.push_back(std::move(state));
    }
    m_revision = record.revision;
    bool has_changed =
        record.ended != m_ended || acknowledged != m_acknowledged ||
        epochs.size() != m_epochs.size() || record.newest() != newest();
    m_epochs = std::move(epochs);
    m_ended = record.ended;
    m_acknowledged = acknowledged;
    return has_changed;
}

const share_table::slot_owners&
share_table::owners(epoch_state& state, const upstream_declaration& upstream)
{
    slot_owners& slots = state.owners[upstream.name];
    std::int32_t capacity = std::max(upstream.capacity, 0);
    bool is_incomplete = slots.size() < static_cast<std::size_t>(capacity);
    if (is_incomplete && !state.digests.empty())
    {
        slots =
            owners_of_slots(digest_of(upstream.name), capacity, state.digests);
    }
    return slots;
}

bool share_table::has_released(const std::string& router,
                               epoch_number last_owned) const
{
    auto acknowledged = m_acknowledged.find(router);
    if (acknowledged != m_acknowledged.end() &&
        acknowledged->second > last_owned)
    {
        return true;
    }
    return std::find(m_ended.begin(), m_ended.end(), router) != m_ended.end();
}

bool share_table::is_released(
    std::size_t slot, const std::vector<const slot_owners*>& owners) const
{
    for (std::size_t index = 0; index + 1 < owners.size(); ++index)
    {
        if (owners[index]->empty())
        {
            continue;
        }
        const router_epoch& epoch = m_epochs[index].epoch;
        const std::string& owner = epoch.routers[(*owners[index])[slot]];
        if (owner != m_router && !has_released(owner, epoch.number))
        {
            return false;
        }
    }
    return true;
}

std::int64_t share_table::usable_slots(const upstream_declaration& upstream)
{
    std::vector<const slot_owners*> by_epoch;
    for (epoch_state& state : m_epochs)
    {
        by_epoch.push_back(&owners(state, upstream));
    }
    const std::vector<std::string>& routers = m_epochs.back().epoch.routers;
    auto self = std::lower_bound(routers.begin(), routers.end(), m_router);
    if (self == routers.end() || *self != m_router)
    {
        return 0;
    }
    std::size_t own = static_cast<std::size_t>(self - routers.begin());
    std::size_t capacity =
        static_cast<std::size_t>(std::max(upstream.capacity, 0));
    std::int64_t usable = 0;
    for (std::size_t slot = 0; slot < capacity; ++slot)
    {
        bool is_own = (*by_epoch.back())[slot] == own;
        usable += is_own && is_released(slot, by_epoch) ? 1 : 0;
    }
    return usable;
}

capacity_plan
share_table::plan(const std::vector<upstream_declaration>& upstreams)
{
    capacity_plan computed{newest(), {}};
    computed.shares.reserve(upstreams.size());
    for (const upstream_declaration& upstream : upstreams)
    {
        std::int64_t slots = m_epochs.empty() ? 0 : usable_slots(upstream);
        computed.shares.push_back(upstream_share{upstream, slots});
    }
    return computed;
}

epoch_number share_table::newest() const
{
    return m_epochs.empty() ? 0 : m_epochs.back().epoch.number;
}

} // namespace turmeric::domain
