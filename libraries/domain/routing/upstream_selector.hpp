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

/// Limits of the choice of an upstream.
struct selector_limits
{
    health_limits health;
    /// A load report older than this says nothing.
    std::chrono::milliseconds report_lifetime{15'000};
    /// Requests that an upstream may report waiting before prefix affinity
    /// passes it over.
    std::int64_t waiting_limit = 2;
};

/// Chooses upstreams within this router's share of their capacity. The sum
/// of what all routers hold at an upstream never exceeds its capacity, see
/// docs/decisions/0002-routing.md. Not thread safe.
class upstream_selector
{
public:
    /// Starts without upstreams. Not thread safe.
    explicit upstream_selector(const selector_limits& limits);

    /// Takes the declared upstreams and this router's shares of them, made
    /// by `share_table::plan`. What is held beyond a share stays held until
    /// `finish`, and nothing new is sent there until then. Not thread safe.
    void update(const capacity_plan& plan);

    /// Takes a load report as a hint. Not thread safe.
    void update_load(const load_report& report);

    /// Gives the upstream no new work until it is declared anew with another
    /// address. Not thread safe.
    void mark_leaving(const std::string& upstream);

    /// Takes a slot at the best upstream. Errors, all `not_run`:
    /// `no_upstream` when none serves the version or this router has no
    /// share of any; `upstream_overloaded` when all slots are taken for now.
    /// Not thread safe.
    result<upstream_choice> choose(const choice_request& request,
                                   ports::steady_time now);

    /// Gives a slot back and records how the call went. Precondition: the
    /// choice came from `choose` and was not given back. Not thread safe.
    void finish(const upstream_choice& choice, call_result outcome,
                ports::steady_time now);

    /// Returns the newest epoch of which this router holds nothing beyond
    /// its shares, to be told to the other routers; 0 before the first. Call
    /// it every round. Not thread safe.
    [[nodiscard]] epoch_number acknowledge();

    /// Tells whether any declared upstream serves `version`, with or without
    /// a share for this router. Not thread safe.
    [[nodiscard]] bool is_served(const std::string& version) const;

    /// Returns how many requests this router may hold at the upstreams that
    /// serve `version`. Not thread safe.
    [[nodiscard]] std::int64_t share_of(const std::string& version) const;

    /// Returns the whole share over all upstreams; the weight of this router
    /// in locate answers. Not thread safe.
    [[nodiscard]] std::int64_t total_share() const;

    /// Returns how many requests are held at `upstream`. Not thread safe.
    [[nodiscard]] std::int64_t held_at(const std::string& upstream) const;

private:
    struct upstream_entry
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
        upstream_entry* entry = nullptr;
        bool is_near = false;
        bool is_loaded = false;
        std::uint64_t rank = 0;
    };

    upstream_entry& declare(const upstream_declaration& declaration);
    [[nodiscard]] bool takes_work(const upstream_entry& entry,
                                  ports::steady_time now) const;
    [[nodiscard]] bool is_loaded(const upstream_entry& entry,
                                 ports::steady_time now) const;
    [[nodiscard]] candidate rate(upstream_entry& entry,
                                 const choice_request& request,
                                 ports::steady_time now);
    [[nodiscard]] static bool
    is_better(const candidate& left, const candidate& right, bool has_prefix);

    selector_limits m_limits;
    epoch_number m_epoch = 0;
    epoch_number m_acknowledged = 0;
    std::unordered_map<std::string, std::unique_ptr<upstream_entry>> m_entries;
    std::unordered_map<std::string, std::vector<upstream_entry*>> m_by_version;
    std::uint64_t m_turn = 0;
};

} // namespace turmeric::domain
