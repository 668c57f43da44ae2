#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/configuration_head.hpp"
#include "libraries/domain/configuration/declarations.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <mutex>
#include <string>

namespace turmeric::drivers
{

/// Reads and writes the parts of configurations, and caches them, since a part
/// never changes once written. Thread safe.
class part_store
{
public:
    /// Precondition: `store` outlives this object.
    explicit part_store(ports::key_value_store& store);

    /// Writes a part unless it exists already, and returns its digest. A lost
    /// reply is resolved by repeating the write. Errors: `corrupt_value` when
    /// different bytes are stored under the same digest; those of the store.
    /// Thread safe; blocks.
    result<std::string> write(const std::string& text);

    /// Reads a part. Errors: `unknown_object` when it does not exist; those
    /// of the store. Thread safe; blocks.
    result<std::string> read(const std::string& digest);

    /// Reads all parts of a head and joins them. Errors: as with `read`, and
    /// `corrupt_value`. Thread safe; blocks.
    result<domain::configuration> load(const domain::configuration_head& head);

    /// Reads the predecessor of `head`. Errors: as with `read`, and
    /// `unknown_object` for the first head. Thread safe; blocks.
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
