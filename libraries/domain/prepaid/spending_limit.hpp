#pragma once

#include "libraries/domain/prepaid/spending_report.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace turmeric::domain
{

/// What determines how much of an account a router announces to spend.
struct spending_need
{
    /// Tokens that were used, lent or passed on, or are held for requests.
    std::int64_t spent = 0;
    /// Tokens that requests wait for.
    std::int64_t waiting = 0;
    /// What may be spent beyond those until the next announcement is confirmed.
    std::int64_t reserve = 0;
    /// As in `spending_report`.
    std::int64_t borrowed = 0;
};

/// Bounds what one router incarnation spends of one account. Once the account's
/// record has an entry of the incarnation, witnesses confirm each limit before
/// it is in force. Not thread safe.
class spending_limit
{
public:
    /// Records that a router remembers `limit`.
    void confirm(const std::string& witness, std::int64_t limit);

    /// Returns whether a router remembers the limit in force or a later one.
    [[nodiscard]] bool has_confirmed(const std::string& witness) const;

    /// Records that the account's record has an entry of this incarnation, or
    /// may have one soon. Precondition: `has_confirmed` is true for all
    /// witnesses.
    void bind();

    /// Records that the account's record has no entry of this incarnation.
    void release();

    /// Returns whether the account's record may have an entry.
    [[nodiscard]] bool is_bound() const;

    /// Raises the limit in force to `total`, or as far as all of `witnesses`
    /// have confirmed. Returns it. Precondition: `total` is not less than what
    /// the incarnation can spend.
    std::int64_t update(std::int64_t total,
                        const std::set<std::string>& witnesses);

    /// Chooses what to announce next.
    void plan(const spending_need& need);

    /// Returns what is announced.
    [[nodiscard]] const spending_report& announced() const;

    /// Returns whether a router has not confirmed the announced limit.
    [[nodiscard]] bool is_announcement_due(const std::string& witness) const;

    /// Forgets what routers have confirmed that are not in `kept`.
    void forget_others(const std::set<std::string>& kept);

private:
    std::map<std::string, std::int64_t> m_confirmed;
    spending_report m_announced;
    std::int64_t m_limit = 0;
    bool m_is_bound = false;
};

} // namespace turmeric::domain
