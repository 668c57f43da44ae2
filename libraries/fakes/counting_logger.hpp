#pragma once

#include "libraries/core/logger.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace turmeric::fakes
{

/// Counts log lines by event, and keeps the text fields of the last one of
/// each. Thread safe.
class counting_logger final : public logger
{
public:
    void write(log_level level, log_event event,
               const std::vector<log_field>& fields) override;

    /// Returns the number of lines with `event`. Thread safe.
    [[nodiscard]] std::size_t count(log_event event) const;

    /// Returns a text field of the last line with `event`, or an empty text if
    /// it has none. Thread safe.
    [[nodiscard]] std::string last_text(log_event event,
                                        std::string_view field) const;

private:
    mutable std::mutex m_mutex;
    std::map<log_event, std::size_t> m_counts;
    std::map<log_event, std::map<std::string, std::string, std::less<>>>
        m_last_texts;
};

} // namespace turmeric::fakes
