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

/// A refusal or a failure as the router tells it.
struct reported_failure
{
    int http_status = 0;
    /// 0 if none was told.
    int code = 0;
    std::string outcome;
};

/// Reads the body of an answer, streamed or whole, and checks it. Not thread
/// safe.
class response_body_reader
{
public:
    /// The answer must pass `check`.
    explicit response_body_reader(response_check check);

    /// Takes a piece of the body. Returns whether some of the answer's text
    /// was in it.
    bool feed(const response_head& head, std::string_view data);

    /// Takes the end of a complete reply.
    void finish(const response_head& head);

    /// Returns the check.
    [[nodiscard]] const response_check& check() const;

    /// Tells whether the answer came with its end.
    [[nodiscard]] bool has_end() const;

    /// Returns the failure that was told, if any.
    [[nodiscard]] const std::optional<reported_failure>& failure() const;

    /// Returns the tokens billed, if told.
    [[nodiscard]] std::optional<std::int64_t> billed_tokens() const;

    /// Returns prompt and answer tokens by the reply's usage; 0 if untold.
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
