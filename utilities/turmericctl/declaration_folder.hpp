#pragma once

#include "libraries/core/json.hpp"
#include "libraries/core/result.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::ctl
{

/// Declarations read from files, and the version that they were made against.
struct folder_content
{
    /// In the form of the files, `{"kind": ...}`.
    std::vector<json> declarations;
    /// From the file `.version`; 0 when there is none.
    std::int64_t base_version = 0;
};

/// Reads every `*.json` under `folder`, in the order of the names; a file
/// has one declaration or an array of them. Errors: `settings_unreadable`,
/// `settings_malformed`, `configuration_invalid`; the field names the file
/// and the path in it. Thread safe.
result<folder_content> read_declaration_folder(const std::string& folder);

/// Writes one file for each kind of object, and `.version`. Files of the
/// same names are replaced. Errors: `settings_unreadable`. Precondition:
/// each declaration has a kind. Not thread safe.
status write_declaration_folder(const std::string& folder,
                                const folder_content& content);

/// Notes the version that the folder's declarations are in force with.
/// Errors: `settings_unreadable`. Not thread safe.
status write_version_file(const std::string& folder, std::int64_t version);

} // namespace turmeric::ctl
