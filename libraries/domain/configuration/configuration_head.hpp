#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace turmeric::domain
{

/// The manifest of one configuration version: it lists the parts by their
/// digests. Replacing the stored head puts all parts of the version in force
/// at once.
struct configuration_head
{
    /// Increases by one with each accepted change; 0 means that there is no
    /// configuration yet.
    std::int64_t version = 0;
    /// Digest of each part, by the part's name.
    std::map<std::string, std::string> parts;
    /// The incarnation of the writer, and the operation that it applied. A
    /// writer that got no reply to its write reads here whether the write
    /// took effect.
    std::string writer;
    std::string operation;
    /// Digest of the previous head, which is stored as a part; empty in the
    /// first version.
    std::string previous;

    bool operator==(const configuration_head&) const = default;
};

/// Encoded parts by their digest.
using part_texts = std::map<std::string, std::string>;

} // namespace turmeric::domain
