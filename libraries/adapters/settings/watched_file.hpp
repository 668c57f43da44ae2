#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace turmeric::adapters
{

/// Notices that a file was changed, also without a signal. Not thread safe.
class watched_file
{
public:
    /// The file as it is now counts as seen. No precondition.
    explicit watched_file(std::string path);

    /// Returns true once for each change, when the file looked the same at
    /// the last two calls: one that is being written is not read half. A
    /// file that is missing has not changed.
    [[nodiscard]] bool has_settled_change();

    /// Counts the file as it is now as seen.
    void mark_seen();

private:
    struct file_state
    {
        std::filesystem::file_time_type written_at;
        std::uintmax_t size = 0;

        bool operator==(const file_state&) const = default;
    };

    /// Returns the file's stamp; the one of the last look if it has none.
    [[nodiscard]] file_state read_state() const;

    std::filesystem::path m_path;
    file_state m_seen_state;
    file_state m_last_state;
};

} // namespace turmeric::adapters
