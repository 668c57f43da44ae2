#pragma once

#include "libraries/domain/prepaid/spending_limits.hpp"
#include "libraries/ports/asynchronous_store.hpp"
#include "libraries/ports/store_era.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::drivers
{

/// The prefix of the keys that name the witnesses of routers.
inline constexpr std::string_view witness_prefix = "turmericfront/witnesses/";

/// Returns the prefix of the keys of all incarnations on `vm` in an era, and of
/// some on VMs whose names begin like it. Thread safe.
[[nodiscard]] std::string write_witness_prefix(ports::store_era era,
                                               const std::string& vm);

/// Returns the witnesses by incarnation, from what the store has under a
/// prefix. Values that cannot be read are left out. Thread safe.
[[nodiscard]] std::map<std::string, std::set<std::string>>
read_witnesses(const std::vector<ports::key_value>& entries);

/// The key with which the store names the witnesses of one router incarnation.
/// It is written together with grants, so that it costs no call of its own. Not
/// thread safe.
class witness_record
{
public:
    /// Precondition: the limits outlive the record.
    witness_record(domain::spending_limits& limits, std::string incarnation);

    /// Continues in an era in which the store has no such key yet.
    void begin_era(ports::store_era era);

    /// Returns whether a change is needed to name other witnesses, even without
    /// grants to change.
    [[nodiscard]] bool needs_change() const;

    /// Adds the names to a change if they are due. Returns whether it did.
    bool add_to(ports::store_change& change);

    /// Records that the store has committed the last change with the names.
    void record_committed(ports::revision at);

    /// Records that the store refused a change and has these entries.
    void record_refused(const std::vector<ports::key_value>& entries);

private:
    [[nodiscard]] std::string key() const;

    domain::spending_limits& m_limits;
    std::string m_incarnation;
    ports::store_era m_era = 0;
    ports::revision m_revision = 0;
    std::set<std::string> m_sent;
};

} // namespace turmeric::drivers
