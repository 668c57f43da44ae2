#pragma once

#include "libraries/core/logger.hpp"
#include "libraries/domain/configuration/configuration_head.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::tests
{

/// Returns a valid configuration; `seed` determines the objects and their
/// values.
domain::configuration sample_configuration(std::uint32_t seed);

/// Returns a configuration with one account of the given weight.
domain::configuration configuration_with_account(const std::string& name,
                                                 int weight);

/// A version as it is stored: the head and the encoded parts.
struct stored_version
{
    domain::configuration content;
    domain::configuration_head head;
    std::vector<std::string> parts;
};

/// Encodes `content` as the given version.
stored_version make_stored_version(domain::configuration content,
                                   std::int64_t version);

/// Discards log lines.
class null_logger final : public logger
{
public:
    void write(log_level, log_event, const std::vector<log_field>&) override {}
};

} // namespace turmeric::tests
