#pragma once

#include "libraries/core/logger.hpp"

#include <cstddef>
#include <map>
#include <mutex>

namespace turmeric::fakes
{

/// Counts log lines by event. Thread safe.
class counting_logger final : public logger
{
public:
    void write(log_level level, log_event event,
               const std::vector<log_field>& fields) override;

    /// Returns the number of lines with `event`. Thread safe.
    [[nodiscard]] std::size_t count(log_event event) const;

private:
    mutable std::mutex m_mutex;
    std::map<log_event, std::size_t> m_counts;
};

} // namespace turmeric::fakes
