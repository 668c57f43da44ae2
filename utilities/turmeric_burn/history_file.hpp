#pragma once

#include "libraries/core/result.hpp"
#include "libraries/domain/burn/burn_sample.hpp"

#include <string>
#include <vector>

namespace turmeric::burn
{

/// Samples in a file, one line of JSON each. Not thread safe; one process
/// writes it at a time.
class history_file
{
public:
    /// Names the file; an empty path keeps nothing.
    explicit history_file(std::string path);

    /// Reads the samples from `oldest` on; a file that does not exist has
    /// none. A last line that was cut off by a crash is skipped. Errors:
    /// `corrupt_value` naming the line.
    [[nodiscard]] result<std::vector<domain::burn_sample>>
    read(std::chrono::system_clock::time_point oldest) const;

    /// Appends samples. Errors: `settings_unreadable` naming the file.
    status append(const std::vector<domain::burn_sample>& samples) const;

private:
    std::string m_path;
};

} // namespace turmeric::burn
