#pragma once

#include "libraries/domain/prepaid/spending_limit.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace turmeric::domain
{

/// The spending limits of one router incarnation, and its witnesses: a few
/// peers, named in the store, each of which has confirmed each limit before it
/// is in force. Any one of them can tell afterwards what the incarnation has
/// spent at most, so that the rest of its grants can be granted again. While
/// the store names none, all that was granted may be spent. Not thread safe.
class spending_limits
{
public:
    /// How many witnesses a router has if there are as many peers. One of them
    /// must outlive it.
    static constexpr std::size_t max_witnesses = 3;

    explicit spending_limits(std::string self);

    /// Sets the peers that can be witnesses. Those that were chosen before stay
    /// chosen.
    void set_peers(const std::set<std::string>& peers);

    /// Returns the routers that are told of each announcement.
    [[nodiscard]] std::set<std::string> list_receivers() const;

    /// Returns the limit of an account.
    [[nodiscard]] spending_limit& of(const std::string& account);

    /// Raises the limit of an account as `spending_limit::update` does.
    std::int64_t update(const std::string& account, std::int64_t total);

    /// Returns whether a change of an account may be sent that gives its record
    /// an entry of this incarnation.
    [[nodiscard]] bool can_bind(const std::string& account) const;

    /// Returns the peers that the store may name as witnesses now.
    [[nodiscard]] std::set<std::string> choose_witnesses() const;

    /// Returns whether the store should name other witnesses with the next
    /// change: one of those that it names is lost, or there are more.
    [[nodiscard]] bool is_change_due() const;

    /// Returns whether one of the witnesses that the store names is lost, so
    /// that nothing more is confirmed.
    [[nodiscard]] bool is_any_lost() const;

    /// Records that a change is sent which makes the store name `witnesses` if
    /// its key has the revision `expected`, now or later. Precondition: they
    /// are of `choose_witnesses`.
    void propose(const std::set<std::string>& witnesses,
                 ports::revision expected);

    /// Sets the witnesses that the store names at the revision `at`.
    void set_recorded(std::set<std::string> witnesses, ports::revision at);

    /// Records that the store names no witnesses and has no entries of this
    /// incarnation in a new era.
    void begin_era();

private:
    /// Returns the witnesses that the store names or may name soon.
    [[nodiscard]] std::set<std::string> required() const;

    std::string m_self;
    std::set<std::string> m_peers;
    std::set<std::string> m_candidates;
    std::set<std::string> m_recorded;
    /// The witnesses of changes whose outcome is not known.
    std::set<std::string> m_proposed;
    ports::revision m_proposed_at = 0;
    std::map<std::string, spending_limit> m_limits;
};

} // namespace turmeric::domain
