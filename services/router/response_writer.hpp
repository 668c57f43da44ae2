#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/codecs/openai/chat_event.hpp"
#include "libraries/drivers/responses/response_buffer.hpp"

#include <memory>
#include <string>

namespace turmeric::router
{

/// A buffered response and the id of the reader that delivers it.
struct response_reader
{
    std::shared_ptr<drivers::response_buffer> buffer;
    std::uint64_t id = 0;
};

/// Makes an HTTP response that streams the response as server-sent events, or a
/// problem document if the response failed before its first piece. Thread safe;
/// blocks until the first piece is available.
adapters::http_response
make_streamed_response(const response_reader& reader,
                       const codecs::response_identity& id);

/// Makes the HTTP response with the complete chat response. Thread safe; blocks
/// until the response has ended.
adapters::http_response make_chat_response(const response_reader& reader,
                                           const codecs::response_identity& id);

/// Makes the HTTP response with the complete response of a service. Thread
/// safe; blocks until the response has ended.
adapters::http_response make_service_response(const response_reader& reader,
                                              const std::string& request_id);

} // namespace turmeric::router
