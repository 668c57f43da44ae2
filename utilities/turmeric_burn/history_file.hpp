#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/burn/burn_sample.hpp"

#include <string>
#include <vector>

namespace turmeric::burn
{

/// A file of samples, one JSON object a line. Not thread safe; at most one
/// process may write the file at a time.
class history_file
{
public:
    /// Uses the file at `path`; with an empty path nothing is read or written.
    explicit history_file(std::string path);

    /// Reads the samples taken at or after `oldest`; a file that does not
    /// exist has none. A last line that a crash truncated is skipped. Errors:
    /// `corrupt_value` naming the line.
    [[nodiscard]] result<std::vector<domain::burn_sample>>
    read(std::chrono::system_clock::time_point oldest) const;

    /// Appends samples, after removing a last line that a crash truncated.
    /// Errors: `settings_unreadable` naming the file.
    status append(const std::vector<domain::burn_sample>& samples) const;

private:
    std::string m_path;
};

} // namespace turmeric::burn
