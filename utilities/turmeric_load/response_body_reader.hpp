#pragma once

#include "libraries/core/json.hpp"
#include "utilities/turmeric_load/response_check.hpp"
#include "utilities/turmeric_load/response_parser.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// A refusal or a failure as the router reports it.
struct reported_failure
{
    int http_status = 0;
    /// The result code; 0 if the response has none.
    int code = 0;
    std::string outcome;
};

/// Reads the body of a response, a stream of events or a single JSON
/// document, and checks its text. Not thread safe.
class response_body_reader
{
public:
    /// Checks the response's text with `check`.
    explicit response_body_reader(response_check check);

    /// Reads a piece of the body. Returns whether it completed some of the
    /// response's text; for a body that is not a stream, whether the status
    /// is 200.
    bool feed(const response_head& head, std::string_view data);

    /// Finishes reading after the last piece of a complete response.
    void finish(const response_head& head);

    /// Returns the check with the text read so far.
    [[nodiscard]] const response_check& check() const;

    /// Tells whether the end of the response was received: `[DONE]` in a
    /// stream, or a document with text.
    [[nodiscard]] bool has_end() const;

    /// Returns the reported failure, if any.
    [[nodiscard]] const std::optional<reported_failure>& failure() const;

    /// Returns the tokens billed, if the response reports them.
    [[nodiscard]] std::optional<std::int64_t> billed_tokens() const;

    /// Returns prompt and output tokens from the response's usage; 0 if it
    /// reports none.
    [[nodiscard]] std::int64_t used_tokens() const;

private:
    bool read_event(std::string_view event);
    bool read_document(const json& document);
    void read_failure(const json& document, int http_status);
    void finish_document(const response_head& head);

    response_check m_check;
    std::string m_pending;
    std::optional<reported_failure> m_failure;
    std::optional<std::int64_t> m_billed;
    std::int64_t m_used = 0;
    bool m_has_end = false;
};

} // namespace turmeric::load
