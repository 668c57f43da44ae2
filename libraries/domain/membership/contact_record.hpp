#pragma once

#include "libraries/ports/clock.hpp"

#include <chrono>
#include <optional>

namespace turmeric::domain
{

/// A time in which a party answered without a long pause between two answers.
struct contact_span
{
    ports::steady_time first;
    ports::steady_time last;
};

/// Records when a party is known to have answered, as the latest span without a
/// long pause. Not thread safe.
class contact_record
{
public:
    /// The longest pause between two answers within a span. A party that was
    /// away for less than this time is taken for present. A router renews its
    /// lease at the store more often.
    static constexpr std::chrono::milliseconds max_pause{1'700};

    /// Records an answer.
    void add(ports::steady_time at);

    /// Records the answers that another observer has had. Precondition:
    /// `span.first` is not after `span.last`.
    void add(const contact_span& span);

    /// Returns the latest span; nothing if no answer is known.
    [[nodiscard]] std::optional<contact_span> latest() const;

    /// Returns since when the party has answered up to `now` without a long
    /// pause; `now` if there is a long pause before it.
    [[nodiscard]] ports::steady_time
    present_since(ports::steady_time now) const;

private:
    std::optional<contact_span> m_latest;
};

} // namespace turmeric::domain
