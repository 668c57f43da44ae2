#pragma once

#include "libraries/core/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// Splits the bytes of a server-sent event stream into the data of its
/// events, however the bytes are cut. Not thread safe.
class event_stream_reader
{
public:
    /// The longest event that is taken, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

    /// Takes bytes and returns the data of the events that are now whole.
    /// Error: `stream_broken` for an event that is too long. Not thread safe.
    result<std::vector<std::string>> accept(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace turmeric::codecs
