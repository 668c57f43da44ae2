#pragma once

#include "libraries/domain/prepaid/prepaid_record.hpp"

#include <cstdint>
#include <deque>

namespace turmeric::domain
{

/// The latest confirmed changes of one router's grant of one account. They
/// show what a record does not count that was begun after a restore of the
/// store, while this router could not be reached. Not thread safe.
class own_grant_history
{
public:
    /// Adds a change of `tokens` that the store confirmed at `at`.
    /// Precondition: `at` is after all changes added before.
    void add(const record_position& at, std::int64_t tokens);

    /// Returns the tokens that a record of era `era` does not count, and
    /// forgets the changes of earlier eras. If the history is too short to
    /// tell, all of `own_granted` counts as missing.
    [[nodiscard]] std::int64_t take_uncounted(const prepaid_record& record,
                                              std::int64_t era,
                                              std::int64_t own_granted);

private:
    struct change
    {
        record_position at;
        std::int64_t tokens = 0;
    };

    std::deque<change> m_changes;
    bool m_is_truncated = false;
};

} // namespace turmeric::domain
