#pragma once

#include "libraries/core/json.hpp"
#include "libraries/ports/key_value_store.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace turmeric::adapters
{

/// Reads one watch stream until the first events arrive. Not thread safe.
class etcd_watch_reader
{
public:
    /// Stops reading at `deadline` even if the service keeps sending responses
    /// without events.
    etcd_watch_reader(ports::revision start,
                      std::chrono::steady_clock::time_point deadline);

    /// Reads the next bytes of the stream; returns false when no more are
    /// needed.
    bool consume(std::string_view data);

    /// Returns the changes that were read. Errors: `platform_unavailable` for a
    /// response that cannot be parsed, `platform_timeout` for a watch that was
    /// not confirmed. Precondition: the stream has ended or `consume` returned
    /// false.
    [[nodiscard]] result<ports::watch_batch> finish() const;

private:
    bool consume_line(const std::string& line);
    bool add_events(const json& events);

    ports::revision m_start;
    std::chrono::steady_clock::time_point m_deadline;
    std::string m_buffer;
    ports::watch_batch m_batch;
    ports::revision m_created_revision = 0;
    bool m_is_created = false;
    bool m_is_unreadable = false;
};

} // namespace turmeric::adapters
