#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/configuration_head.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmeric::domain
{

/// Builds a configuration from its head and its encoded parts.
using configuration_assembler = std::function<result<configuration>(
    const configuration_head&, const part_texts&)>;

/// Holds the newest complete configuration that this process has received. It
/// accepts heads and parts in any order, from the platform or from peers, and
/// puts a version in force only when all parts of it are present. The version
/// never decreases. Not thread safe.
class configuration_replica
{
public:
    /// Starts with the empty configuration of version 0. Precondition:
    /// `assemble` is callable. Not thread safe.
    explicit configuration_replica(configuration_assembler assemble);

    /// Accepts a head and returns whether this put another configuration in
    /// force. Old and repeated heads have no effect. Errors: `corrupt_value`
    /// when it differs from another head of the same version, or when its
    /// parts cannot be assembled; the configuration in force then stays. Not
    /// thread safe.
    result<bool> offer_head(const configuration_head& head);

    /// Accepts an encoded part and returns whether this put another
    /// configuration in force. A part that no incomplete head needs has no
    /// effect. Errors as with `offer_head`. Not thread safe.
    result<bool> offer_part(const std::string& text);

    /// Returns the digests of the parts that incomplete heads still need,
    /// those of the newest head first. Not thread safe.
    [[nodiscard]] std::vector<std::string> missing_parts() const;

    /// Returns the configuration in force, never null. Not thread safe.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;

    /// Returns the head of the configuration in force. Not thread safe.
    [[nodiscard]] const configuration_head& head() const;

    /// Returns the encoded parts in force. Not thread safe.
    [[nodiscard]] const part_texts& parts() const;

private:
    [[nodiscard]] bool is_complete(const configuration_head& head) const;
    [[nodiscard]] const std::string* find_part(const std::string& digest) const;
    result<bool> put_newest_complete_in_force();
    result<bool> put_in_force(const configuration_head& head);
    void drop_unreferenced_parts();

    configuration_assembler m_assemble;
    configuration_head m_head;
    part_texts m_parts;
    std::shared_ptr<const configuration> m_current;
    /// Heads of versions above the one in force whose parts are not all
    /// present, by version.
    std::map<std::int64_t, configuration_head> m_incomplete_heads;
    part_texts m_pending_parts;
    /// The last version that could not be assembled; it is not tried again.
    std::int64_t m_rejected_version = 0;
};

} // namespace turmeric::domain
