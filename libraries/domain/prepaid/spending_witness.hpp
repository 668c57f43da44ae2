#pragma once

#include "libraries/domain/prepaid/spending_report.hpp"
#include "libraries/ports/clock.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace turmeric::domain
{

/// Remembers what peers have announced of their spending, until some time after
/// they are gone. It never tells less than it has confirmed. Not thread safe.
class spending_witness
{
public:
    /// The most rows that are remembered. Further ones are not confirmed.
    static constexpr std::size_t max_rows = 100'000;
    /// How long the reports of a router are kept that is not registered.
    static constexpr std::chrono::minutes retention{10};

    /// Remembers a report. Returns whether it did.
    bool remember(const std::string& incarnation, const std::string& account,
                  const spending_report& report);

    /// Returns what is known of an incarnation's spending of an account.
    [[nodiscard]] std::optional<spending_report>
    find(const std::string& incarnation, const std::string& account) const;

    /// Forgets routers that have not been registered for long.
    void set_registered(const std::set<std::string>& incarnations,
                        ports::steady_time now);

private:
    struct known_router
    {
        std::map<std::string, spending_report> accounts;
        /// Since when it has not been registered.
        std::optional<ports::steady_time> missing_since;
    };

    std::map<std::string, known_router> m_routers;
    std::size_t m_rows = 0;
};

} // namespace turmeric::domain
