#pragma once

#include "standins/common/switches.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace turmeric::standins
{

/// The faults that the key-value stand-in can show.
struct key_value_faults
{
    /// Each call waits this long first.
    std::int64_t delay_ms = 0;
    /// Connections are closed without a reply and without an effect.
    bool outage = false;
    /// Calls are answered 503 without an effect.
    bool unavailable = false;
    /// The next writes of keys that take effect but lose their reply.
    std::int64_t drop_reply_after_effect = 0;
    /// The next writes of keys that are lost before they take effect.
    std::int64_t drop_before_effect = 0;
    /// Writes and reads allowed in a second; none means any number.
    std::optional<double> write_rate;
    std::optional<double> read_rate;
    /// Watches stay open and say nothing; those that are open meanwhile stay
    /// silent for good.
    bool silent_watches = false;
};

inline constexpr std::array key_value_fault_table = {
    switch_row<key_value_faults>{"delay_ms", &key_value_faults::delay_ms},
    switch_row<key_value_faults>{"outage", &key_value_faults::outage},
    switch_row<key_value_faults>{"unavailable", &key_value_faults::unavailable},
    switch_row<key_value_faults>{"drop_reply_after_effect",
                                 &key_value_faults::drop_reply_after_effect},
    switch_row<key_value_faults>{"drop_before_effect",
                                 &key_value_faults::drop_before_effect},
    switch_row<key_value_faults>{"write_rate", &key_value_faults::write_rate},
    switch_row<key_value_faults>{"read_rate", &key_value_faults::read_rate},
    switch_row<key_value_faults>{"silent_watches",
                                 &key_value_faults::silent_watches},
};

/// Returns the table as a span of any length. Thread safe.
[[nodiscard]] inline std::span<const switch_row<key_value_faults>>
key_value_fault_fields()
{
    return key_value_fault_table;
}

} // namespace turmeric::standins
