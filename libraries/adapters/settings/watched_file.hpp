#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace turmeric::adapters
{

/// Detects changes of a file by polling its modification time and size. Not
/// thread safe.
class watched_file
{
public:
    /// Treats the present state of the file as already reported. No
    /// precondition.
    explicit watched_file(std::string path);

    /// Returns true once for each change, after time and size were the same in
    /// two calls in a row, so that a file is not read while it is still being
    /// written. A missing file counts as unchanged.
    [[nodiscard]] bool has_settled_change();

    /// Treats the present state of the file as already reported, for example
    /// after it was read for another reason.
    void mark_seen();

private:
    struct file_state
    {
        std::filesystem::file_time_type written_at;
        std::uintmax_t size = 0;

        bool operator==(const file_state&) const = default;
    };

    /// Returns the present state of the file, or the last one if it cannot be
    /// read.
    [[nodiscard]] file_state read_state() const;

    std::filesystem::path m_path;
    file_state m_seen_state;
    file_state m_last_state;
};

} // namespace turmeric::adapters
