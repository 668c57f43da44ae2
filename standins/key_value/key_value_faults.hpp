#pragma once

#include "standins/common/switches.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace turmeric::standins
{

/// The faults that the key-value stand-in can inject.
struct key_value_faults
{
    /// Delay before each call is handled.
    std::int64_t delay_ms = 0;
    /// Closes connections without a reply; calls take no effect.
    bool outage = false;
    /// Responds 503 to calls; they take no effect.
    bool unavailable = false;
    /// Number of the next key writes that take effect but whose reply is lost.
    std::int64_t drop_reply_after_effect = 0;
    /// Number of the next key writes that are lost before they take effect.
    std::int64_t drop_before_effect = 0;
    /// Writes and reads allowed per second; unlimited if not set.
    std::optional<double> write_rate;
    std::optional<double> read_rate;
    /// Watches of the etcd gateway stay open but send no events. A watch that
    /// is open while this is set sends none afterwards either. Watch calls of
    /// the platform's API lose their connection instead.
    bool silent_watches = false;
};

inline constexpr std::array key_value_fault_table = {
    switch_field<key_value_faults>{"delay_ms", &key_value_faults::delay_ms},
    switch_field<key_value_faults>{"outage", &key_value_faults::outage},
    switch_field<key_value_faults>{"unavailable",
                                   &key_value_faults::unavailable},
    switch_field<key_value_faults>{"drop_reply_after_effect",
                                   &key_value_faults::drop_reply_after_effect},
    switch_field<key_value_faults>{"drop_before_effect",
                                   &key_value_faults::drop_before_effect},
    switch_field<key_value_faults>{"write_rate", &key_value_faults::write_rate},
    switch_field<key_value_faults>{"read_rate", &key_value_faults::read_rate},
    switch_field<key_value_faults>{"silent_watches",
                                   &key_value_faults::silent_watches},
};

/// Returns the table as a span. Thread safe.
[[nodiscard]] inline std::span<const switch_field<key_value_faults>>
key_value_fault_fields()
{
    return key_value_fault_table;
}

} // namespace turmeric::standins
