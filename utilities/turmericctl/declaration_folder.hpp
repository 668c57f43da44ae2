#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::ctl
{

/// Declarations read from files, and the configuration version that they are
/// based on.
struct folder_content
{
    /// As JSON objects in the format of the files, `{"kind": ...}`.
    std::vector<json> declarations;
    /// From the file `.version`; 0 when there is none.
    std::int64_t base_version = 0;
};

/// Reads every `*.json` file under `folder`, in the order of their paths; a
/// file has one declaration or an array of declarations. Errors:
/// `settings_unreadable`, `settings_malformed`, `configuration_invalid`; the
/// field has the file and the path in it. Thread safe.
result<folder_content> read_declaration_folder(const std::string& folder);

/// Writes one file for each kind of object, and `.version`. Files of the
/// same names are replaced. Errors: `settings_unreadable`. Precondition:
/// each declaration has a kind. Not thread safe.
status write_declaration_folder(const std::string& folder,
                                const folder_content& content);

/// Writes `.version` with the configuration version in which the folder's
/// declarations are in force. Errors: `settings_unreadable`. Not thread safe.
status write_version_file(const std::string& folder, std::int64_t version);

} // namespace turmeric::ctl
