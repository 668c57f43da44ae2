#pragma once

#include "libraries/domain/prepaid/grant_ceiling.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace turmeric::domain
{

/// The place of a change in the history of an account's record. Each era of the
/// store has a record of its own, whose version grows with each change.
struct record_position
{
    std::int64_t era = 0;
    std::int64_t version = 0;

    bool operator==(const record_position&) const = default;

    /// Orders by the era, then by the version. Thread safe.
    bool operator<(const record_position& other) const
    {
        return std::tie(era, version) < std::tie(other.era, other.version);
    }
};

/// By era, the version of that era's record up to which its changes count.
using counted_versions = std::map<std::int64_t, std::int64_t>;

/// The tokens that the store counted as granted to all routers at a position.
struct granted_total
{
    record_position at;
    std::int64_t tokens = 0;
    /// What counts of the eras before. The restored store may have lost the
    /// records that say so.
    counted_versions earlier_eras = {};
    /// As in `prepaid_record`. Reports of peers do not have it.
    grant_ceiling ceiling = {};
};

/// The latest granted total that is known of each account, from this router's
/// changes and from those that peers reported. It outlasts a restore of the
/// store, which then has an older total. Not thread safe.
class granted_totals
{
public:
    /// Keeps `total` unless a later one is known. Of two at the same position
    /// the greater is kept: one of them was written by a change that the store
    /// executed after its restore.
    void merge(const std::string& account, const granted_total& total);

    /// Returns the latest total of an account; nothing if none is known.
    [[nodiscard]] std::optional<granted_total>
    find(const std::string& account) const;

    /// Returns the latest totals by account.
    [[nodiscard]] const std::map<std::string, granted_total>& all() const;

    /// Records that this router has read all records of the store in `era`, or
    /// that it has all totals of a peer that has. `era` 0 means none.
    void add_known_era(std::int64_t era);

    /// Returns the earliest era whose latest totals are known, whatever the
    /// store has lost since; 0 if none is. Totals of an era before it may lack
    /// the changes that a restore of the store has undone.
    [[nodiscard]] std::int64_t known_since() const;

private:
    std::map<std::string, granted_total> m_totals;
    std::int64_t m_known_since = 0;
};

} // namespace turmeric::domain
