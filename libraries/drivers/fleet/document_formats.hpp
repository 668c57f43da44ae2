#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/callers/route_table.hpp"
#include "libraries/domain/placement/upstream_entry.hpp"

#include <string>
#include <string_view>

namespace turmeric::drivers
{

/// The store keys under which a deployment keeps the configuration and its
/// upstreams, and the functions that parse their documents.
struct document_formats
{
    std::string configuration_key;
    std::string upstream_prefix;
    result<domain::route_declarations> (*read_configuration)(
        std::string_view text);
    result<domain::upstream_entry> (*read_upstream)(std::string_view key,
                                                    std::string_view text);
};

} // namespace turmeric::drivers
