#include "libraries/adapters/settings/watched_file.hpp"

#include <system_error>
#include <utility>

namespace turmeric::adapters
{

watched_file::watched_file(std::string path)
    : m_path(std::move(path))
{
    m_last = look();
    m_seen = m_last;
}

watched_file::stamp watched_file::look() const
{
    std::error_code fault;
    stamp now;
    now.written = std::filesystem::last_write_time(m_path, fault);
    if (!fault)
    {
        now.size = std::filesystem::file_size(m_path, fault);
    }
    // A file that is being replaced may be missing for a moment.
    return fault ? m_last : now;
}

bool watched_file::has_settled_change()
{
    const stamp now = look();
    const bool is_settled = now == std::exchange(m_last, now);
    if (!is_settled || now == m_seen)
    {
        return false;
    }
    m_seen = now;
    return true;
}

void watched_file::mark_seen()
{
    m_last = look();
    m_seen = m_last;
}

} // namespace turmeric::adapters
