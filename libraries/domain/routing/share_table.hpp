#pragma once

#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/domain/membership/router_epoch.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// Returns the maximum number of an upstream's slots whose owners are chosen by
/// hashing, for a fleet of `routers`. Further slots repeat these owners, so
/// this is also the maximum number of routers that share one upstream. Thread
/// safe.
[[nodiscard]] std::size_t max_hashed_slots(std::size_t routers);

/// Returns for each of an upstream's slots the index in `routers` of the
/// router that owns it. Uses rendezvous hashing and limits each router to 5/4
/// of the even share. A slot's owner depends only on the upstream's name, the
/// slot's number and the routers. Routers whose configurations declare
/// different capacities or different upstreams therefore agree on each slot
/// that both declare. Precondition: `routers` are digests of the epoch's
/// incarnations. Thread safe.
[[nodiscard]] std::vector<std::uint16_t>
owners_of_slots(std::uint64_t upstream, std::int32_t capacity,
                const std::vector<std::uint64_t>& routers);

/// An upstream and how many of its slots this router may use.
struct upstream_share
{
    upstream_declaration upstream;
    std::int64_t slots = 0;
};

/// The upstream slots that one router may use from an epoch on.
struct capacity_plan
{
    epoch_number epoch = 0;
    std::vector<upstream_share> shares;
};

/// Counts the slots that one router may use while epochs change. A slot is
/// usable when the router owns it in its newest epoch, and each other router
/// that owned it in an earlier epoch of the record has either ended or
/// acknowledged an epoch later than the last one in which it was the owner.
/// Not thread safe.
class share_table
{
public:
    /// Precondition: `router` is this router's incarnation. Not thread safe.
    explicit share_table(std::string router);

    /// Sets the epochs in use and the acknowledgements; ignores a record of a
    /// lower revision. Returns whether shares may have changed. Not thread
    /// safe.
    bool update(const epoch_record& record,
                const epoch_acknowledgements& acknowledged);

    /// Counts the usable slots of each upstream. The owners are computed once
    /// for each epoch and upstream, in time proportional to slots times
    /// routers, so call it on a thread that delays no request. Not thread
    /// safe.
    [[nodiscard]] capacity_plan
    plan(const std::vector<upstream_declaration>& upstreams);

    /// Returns the number of the newest epoch. Not thread safe.
    [[nodiscard]] epoch_number newest() const;

private:
    using slot_owners = std::vector<std::uint16_t>;

    struct epoch_state
    {
        router_epoch epoch;
        std::vector<std::uint64_t> digests;
        std::unordered_map<std::string, slot_owners> owners;
    };

    [[nodiscard]] static const slot_owners&
    owners(epoch_state& state, const upstream_declaration& upstream);
    [[nodiscard]] bool has_released(const std::string& router,
                                    epoch_number last_owned) const;
    [[nodiscard]] bool
    is_released(std::size_t slot,
                const std::vector<const slot_owners*>& owners) const;
    [[nodiscard]] std::int64_t
    usable_slots(const upstream_declaration& upstream);

    std::string m_router;
    std::int64_t m_revision = 0;
    std::vector<epoch_state> m_epochs;
    std::vector<std::string> m_ended;
    epoch_acknowledgements m_acknowledged;
};

} // namespace turmeric::domain
