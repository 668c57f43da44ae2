#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace turmeric::domain
{

/// Names the parts of one configuration version. Swapping the head puts the
/// whole version in force.
struct configuration_head
{
    /// Goes up by one with each accepted change; 0 means none yet.
    std::int64_t version = 0;
    /// Digest of each part, by the part's name.
    std::map<std::string, std::string> parts;
    /// Incarnation of the writer, and its operation: whoever lost the reply
    /// to its write finds here whether it took effect.
    std::string writer;
    std::string operation;
    /// Digest of the head before, which is kept as a part; empty in the
    /// first.
    std::string previous;

    bool operator==(const configuration_head&) const = default;
};

/// Texts of parts by their digest.
using part_texts = std::map<std::string, std::string>;

} // namespace turmeric::domain
