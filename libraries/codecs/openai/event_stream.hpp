#pragma once

#include "libraries/core/result.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::codecs
{

/// Extracts the data of the events from a stream of server-sent events,
/// wherever the stream is split into pieces. Not thread safe.
class event_stream_reader
{
public:
    /// The maximum length of an event, in bytes.
    static constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

    /// Accepts the next bytes and returns the data of the events that they
    /// complete. Errors: `stream_broken` for an event that is longer than
    /// `max_event_bytes`. Not thread safe.
    result<std::vector<std::string>> accept(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace turmeric::codecs
