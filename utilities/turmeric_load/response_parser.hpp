#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// The status and header fields of an HTTP response.
struct response_head
{
    int status = 0;
    /// Keyed by the name in lower case.
    std::map<std::string, std::string> headers;

    /// Returns a header's value; empty if it is absent.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Parses an HTTP/1.1 response incrementally, as bytes arrive. Not thread
/// safe.
class response_parser
{
public:
    /// How much of the response was parsed.
    enum class progress
    {
        incomplete,
        complete,
        invalid,
    };

    using body_sink = std::function<void(std::string_view)>;

    /// Parses the next bytes and passes those of the body to `on_body`.
    /// Precondition: the response is neither complete nor invalid.
    progress feed(std::string_view data, const body_sink& on_body);

    /// Handles the end of the connection, which completes only a body
    /// without a declared length.
    progress close();

    /// Tells whether the status line was read.
    [[nodiscard]] bool has_head() const;

    /// Returns the head. Precondition: `has_head()`.
    [[nodiscard]] const response_head& head() const;

    /// Tells whether any byte of the response was received.
    [[nodiscard]] bool has_started() const;

    /// Tells whether the connection can be used for another request.
    /// Precondition: the response is complete.
    [[nodiscard]] bool keeps_connection() const;

private:
    enum class state
    {
        head,
        fixed_length_body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailer,
        close_delimited_body,
        complete,
        invalid,
    };

    bool parse_header_line();
    void select_body_framing();
    bool consume_line(std::string_view& data);
    void parse_next(std::string_view& data, const body_sink& on_body);
    void parse_chunk_size();
    void forward_body(std::string_view& data, const body_sink& on_body,
                      state after);

    state m_state = state::head;
    response_head m_head;
    /// The current line as far as it was received.
    std::string m_pending;
    std::uint64_t m_remaining_bytes = 0;
};

} // namespace turmeric::load
