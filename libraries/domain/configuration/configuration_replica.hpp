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

/// Builds a configuration from its head and the texts of all of its parts.
using configuration_assembler = std::function<result<configuration>(
    const configuration_head&, const part_texts&)>;

/// The newest whole configuration known here. It takes heads and parts in
/// any order, from the platform or from peers, and puts a version in force
/// only when all its parts are there; the version never goes down. Not
/// thread safe.
class configuration_replica
{
public:
    /// Starts with the empty configuration of version 0. Precondition:
    /// `assemble` is callable. Not thread safe.
    explicit configuration_replica(configuration_assembler assemble);

    /// Takes a head and returns whether another configuration is in force
    /// now. Old and repeated heads have no effect. Errors: `corrupt_value`
    /// when it contradicts a head of the same version, or when its parts
    /// cannot be assembled; what was in force stays. Not thread safe.
    result<bool> offer_head(const configuration_head& head);

    /// Takes a part's text and returns whether another configuration is in
    /// force now; a text that nothing waits for has no effect. Errors as
    /// with `offer_head`. Not thread safe.
    result<bool> offer_part(const std::string& text);

    /// Returns the digests that the waiting heads lack, newest head first.
    /// Not thread safe.
    [[nodiscard]] std::vector<std::string> missing_parts() const;

    /// Returns what is in force, never null. Not thread safe.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;

    /// Returns the head of what is in force. Not thread safe.
    [[nodiscard]] const configuration_head& head() const;

    /// Returns the texts of the parts in force. Not thread safe.
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
    /// Heads above the one in force that lack parts, by version.
    std::map<std::int64_t, configuration_head> m_incomplete_heads;
    part_texts m_pending_parts;
    /// A version that could not be assembled and is not tried again.
    std::int64_t m_rejected_version = 0;
};

} // namespace turmeric::domain
