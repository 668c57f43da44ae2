#pragma once

#include "libraries/adapters/httplib/http_types.hpp"
#include "libraries/codecs/openai/chat_event.hpp"
#include "libraries/drivers/answers/answer_record.hpp"

#include <memory>
#include <string>

namespace turmeric::router
{

/// An answer and who reads it.
struct response_reader
{
    std::shared_ptr<drivers::answer_record> buffer;
    std::uint64_t id = 0;
};

/// Makes the reply that streams an answer as server-sent events, or a
/// problem when it failed before its first piece. Thread safe; blocks until
/// the first piece.
adapters::http_reply make_streamed_reply(const response_reader& reader,
                                         const codecs::answer_identity& id);

/// Makes the reply that holds a chat answer as a whole. Thread safe; blocks
/// until the end.
adapters::http_reply make_complete_reply(const response_reader& reader,
                                         const codecs::answer_identity& id);

/// Makes the reply that holds a service's answer. Thread safe; blocks until
/// the end.
adapters::http_reply make_service_reply(const response_reader& reader,
                                        const std::string& request_id);

} // namespace turmeric::router
