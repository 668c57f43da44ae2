#pragma once

#include "libraries/ports/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// A data centre whose evacuation begins or ends.
struct evacuation_change
{
    std::string data_centre;
    bool is_begun = true;

    bool operator==(const evacuation_change&) const = default;
};

/// The data centres to whose upstreams operators want nothing sent. After a
/// restore of the store, an evacuation that the copy lacks is kept until
/// operators have had time to write it again. Not thread safe.
class evacuations
{
public:
    /// Takes over what operators have written, as read in an era of the store.
    /// Returns what changes.
    std::vector<evacuation_change> update(std::set<std::string> ordered,
                                          std::int64_t era,
                                          ports::steady_time now);

    /// Ends the evacuations that were kept for long enough and not written
    /// again. Returns what changes.
    std::vector<evacuation_change> expire(ports::steady_time now);

    /// Returns whether a data centre is evacuated.
    [[nodiscard]] bool contains(const std::string& data_centre) const;

    /// Returns the number of data centres that are evacuated.
    [[nodiscard]] std::size_t size() const;

private:
    std::set<std::string> m_ordered;
    /// Evacuations that a restored store lacks, and until when they are kept.
    std::map<std::string, ports::steady_time> m_kept;
    std::optional<std::int64_t> m_era;
    std::optional<ports::steady_time> m_restored_at;
};

} // namespace turmeric::domain
