#pragma once

#include "libraries/domain/burn/burn_calculator.hpp"
#include "libraries/domain/burn/burn_sample.hpp"
#include "libraries/ports/upstream.hpp"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace turmeric::burn
{

/// Reads metrics of routers over HTTP. Thread safe if the upstream caller is.
class scraper
{
public:
    /// Precondition: `caller` and `objectives` outlive the scraper.
    scraper(ports::upstream_caller& caller,
            const domain::burn_calculator& objectives,
            std::set<std::string> accounts);

    /// Returns one sample for each router; it is marked as missing if the
    /// router cannot be read.
    [[nodiscard]] std::vector<domain::burn_sample>
    read(const std::vector<std::string>& routers,
         std::chrono::system_clock::time_point now);

    /// Queries these routers in order and returns the list of routers from
    /// the first valid response. Errors: `peer_unavailable` when there is
    /// none.
    result<std::vector<std::string>>
    locate(const std::vector<std::string>& routers);

private:
    result<std::string> fetch(const std::string& address,
                              const std::string& path);

    ports::upstream_caller& m_caller;
    const domain::burn_calculator& m_objectives;
    const std::set<std::string> m_accounts;
};

} // namespace turmeric::burn
