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

/// Reads routers over HTTP. Thread safe if the caller is.
class scraper
{
public:
    /// Precondition: the references outlive it.
    scraper(ports::upstream_caller& caller,
            const domain::burn_calculator& objectives,
            std::set<std::string> accounts);

    /// Reads each router; one that cannot be read gives a missing sample.
    [[nodiscard]] std::vector<domain::burn_sample>
    read(const std::vector<std::string>& routers,
         std::chrono::system_clock::time_point now);

    /// Asks these routers for all routers, the first that answers counts;
    /// `peer_unavailable` when none does.
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
