#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/routing/choice.hpp"
#include "libraries/domain/routing/share_table.hpp"
#include "libraries/domain/routing/upstream_health.hpp"
#include "libraries/ports/clock.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmeric::domain
{

/// Limits by which upstreams are chosen.
struct selector_limits
{
    health_limits health;
    /// Load reports older than this are ignored.
    std::chrono::milliseconds report_lifetime{15'000};
    /// An upstream that reports more waiting requests than this is used only
    /// if all other upstreams do so too or have no free slot, even for prompts
    /// whose prefix maps to it.
    std::int64_t waiting_limit = 2;
};

/// Chooses upstreams within this router's share of their capacity. The number
/// of slots that all routers together hold at an upstream never exceeds its
/// capacity, see docs/decisions/0002-routing.md. Not thread safe.
class upstream_selector
{
public:
    /// Starts without upstreams. Not thread safe.
    explicit upstream_selector(const selector_limits& limits);

    /// Sets the declared upstreams and this router's shares of them, made by
    /// `share_table::plan`. Slots that are held beyond a share stay held until
    /// `finish`; the upstream gets no new requests until fewer slots are held
    /// than the share. Not thread safe.
    void update(const capacity_plan& plan);

    /// Sets the last load report of an upstream; it affects only the order of
    /// preference. Not thread safe.
    void update_load(const load_report& report);

    /// Sends no new requests to the upstream until it is declared with another
    /// address. Not thread safe.
    void mark_leaving(const std::string& upstream);

    /// Reserves a slot at the best upstream. Errors, all `not_run`:
    /// `no_upstream` if no upstream that is not excluded serves the version
    /// and has a share for this router; `upstream_overloaded` if no slot of
    /// these upstreams can be used now. Not thread safe.
    result<upstream_choice> choose(const choice_request& request,
                                   ports::steady_time now);

    /// Releases a slot and records the result of the call. Precondition: the
    /// choice came from `choose` and was not released. Not thread safe.
    void finish(const upstream_choice& choice, call_result outcome,
                ports::steady_time now);

    /// Returns the newest epoch in which this router was found to hold no slot
    /// beyond its shares; 0 before the first. The caller sends it to the other
    /// routers. Call it regularly. Not thread safe.
    [[nodiscard]] epoch_number acknowledge();

    /// Returns whether any declared upstream serves `version`, with or without
    /// a share for this router. Not thread safe.
    [[nodiscard]] bool is_served(const std::string& version) const;

    /// Returns how many requests this router may hold at the upstreams that
    /// serve `version`. Not thread safe.
    [[nodiscard]] std::int64_t share_of(const std::string& version) const;

    /// Returns the sum of the shares of all upstreams. It is the weight of
    /// this router in locate responses. Not thread safe.
    [[nodiscard]] std::int64_t total_share() const;

    /// Returns how many slots are held at `upstream`. Not thread safe.
    [[nodiscard]] std::int64_t held_at(const std::string& upstream) const;

private:
    struct tracked_upstream
    {
        upstream_declaration declaration;
        std::uint64_t digest = 0;
        std::int64_t share = 0;
        std::int64_t held = 0;
        bool is_declared = true;
        bool is_leaving = false;
        upstream_health health;
        load_report report;
    };

    struct candidate
    {
        tracked_upstream* entry = nullptr;
        bool is_in_data_centre = false;
        bool has_backlog = false;
        std::uint64_t rank = 0;
    };

    tracked_upstream& declare(const upstream_declaration& declaration);
    [[nodiscard]] bool accepts_requests(const tracked_upstream& entry,
                                        ports::steady_time now) const;
    [[nodiscard]] bool has_backlog(const tracked_upstream& entry,
                                   ports::steady_time now) const;
    [[nodiscard]] candidate evaluate(tracked_upstream& entry,
                                     const choice_request& request,
                                     ports::steady_time now);
    [[nodiscard]] static bool
    is_better(const candidate& left, const candidate& right, bool has_prefix);

    selector_limits m_limits;
    epoch_number m_epoch = 0;
    epoch_number m_acknowledged = 0;
    std::unordered_map<std::string, std::unique_ptr<tracked_upstream>>
        m_entries;
    std::unordered_map<std::string, std::vector<tracked_upstream*>>
        m_by_version;
    std::uint64_t m_choice_count = 0;
};

} // namespace turmeric::domain
