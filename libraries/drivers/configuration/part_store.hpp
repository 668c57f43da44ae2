#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/configuration_head.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <mutex>
#include <string>

namespace turmeric::drivers
{

/// Reads and writes the parts of configurations, which never change once
/// written; keeps what it has seen. Thread safe.
class part_store
{
public:
    /// Precondition: `store` outlives this object.
    explicit part_store(ports::key_value_store& store);

    /// Writes a part unless it is there already, and returns its digest. A
    /// lost reply is resolved by reading. Errors: `corrupt_value` when other
    /// bytes have the same digest; those of the store. Thread safe; blocks.
    result<std::string> write(const std::string& text);

    /// Reads a part. Errors: `unknown_object` when it is not there; those of
    /// the store. Thread safe; blocks.
    result<std::string> read(const std::string& digest);

    /// Reads all parts of a head and joins them. Errors: as with `read`, and
    /// `corrupt_value`. Thread safe; blocks.
    result<domain::configuration> load(const domain::configuration_head& head);

    /// Reads the head before `head`. Errors: as with `read`;
    /// `unknown_object` before the first. Thread safe; blocks.
    result<domain::configuration_head>
    load_previous(const domain::configuration_head& head);

private:
    result<std::string> create_part(const std::string& digest,
                                    const std::string& text);
    void add_to_cache(const std::string& digest, const std::string& text);

    ports::key_value_store& m_store;
    std::mutex m_mutex;
    domain::part_texts m_cache;
};

} // namespace turmeric::drivers
