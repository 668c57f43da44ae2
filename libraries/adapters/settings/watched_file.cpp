#include "libraries/adapters/settings/watched_file.hpp"

#include <system_error>
#include <utility>

namespace turmeric::adapters
{

watched_file::watched_file(std::string path)
    : m_path(std::move(path))
{
    m_last_state = read_state();
    m_seen_state = m_last_state;
}

watched_file::file_state watched_file::read_state() const
{
    std::error_code error_code;
    file_state current;
    current.written_at = std::filesystem::last_write_time(m_path, error_code);
    if (!error_code)
    {
        current.size = std::filesystem::file_size(m_path, error_code);
    }
    // A file that is being replaced can be missing for a short time.
    return error_code ? m_last_state : current;
}

bool watched_file::has_settled_change()
{
    const file_state current = read_state();
    const bool is_settled = current == std::exchange(m_last_state, current);
    if (!is_settled || current == m_seen_state)
    {
        return false;
    }
    m_seen_state = current;
    return true;
}

void watched_file::mark_seen()
{
    m_last_state = read_state();
    m_seen_state = m_last_state;
}

} // namespace turmeric::adapters
