#pragma once

#include "libraries/drivers/configuration/configuration_change.hpp"
#include "libraries/drivers/configuration/part_store.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace turmeric::drivers
{

/// Puts operators' changes in force: writes the parts of the new version, then
/// replaces the head by compare-and-swap. Thread safe.
class configuration_writer
{
public:
    /// `writer` identifies this process in the heads that it writes; `pause`
    /// is called between attempts to resolve an unknown outcome.
    /// Precondition: `store` outlives this object and `writer` is unique.
    configuration_writer(ports::key_value_store& store, std::string writer,
                         std::function<void()> pause);

    /// Applies a change to its base version. If other operators have changed
    /// other objects since, the changes are merged; if they changed the same
    /// objects, the result is a conflict. An unknown outcome of a write is
    /// resolved by reading; when that is not possible, the error is
    /// `platform_outcome_unknown`, and the change may safely be repeated with
    /// the same operation. Thread safe; blocks.
    change_outcome apply(const configuration_change& change);

    /// Reads a version; 0 means the newest. Errors: `unknown_object` when the
    /// version is not stored; those of the store. Thread safe; blocks.
    result<domain::configuration> read(std::int64_t version);

private:
    /// The head as it is stored: its text, its revision and its content.
    struct stored_head
    {
        std::string text;
        ports::revision modification_revision = 0;
        domain::configuration_head head;
    };

    result<stored_head> read_head();
    result<domain::configuration_head> find_version(const stored_head& newest,
                                                    std::int64_t version);
    result<std::optional<std::int64_t>>
    find_operation(const stored_head& newest,
                   const configuration_change& change);
    std::optional<change_outcome> try_apply(const configuration_change& change,
                                            std::int64_t base_version);
    std::optional<change_outcome>
    write_version(const stored_head& old_head,
                  const domain::configuration& wanted,
                  const std::string& operation, accepted_change accepted);
    result<domain::configuration_head>
    write_parts(const stored_head& old_head,
                const domain::configuration& wanted);
    result<bool> swap_head(const stored_head& old_head,
                           const domain::configuration_head& head);
    result<bool> is_in_history(const stored_head& newest,
                               const domain::configuration_head& head);

    ports::key_value_store& m_store;
    std::string m_writer;
    std::function<void()> m_pause;
    part_store m_parts;
};

} // namespace turmeric::drivers
