#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace turmeric::load
{

/// The first part of an HTTP reply.
struct response_head
{
    int status = 0;
    /// By name in lower case.
    std::map<std::string, std::string> headers;

    /// Returns a header's value; empty if it is absent.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Reads an HTTP/1.1 reply from pieces of a connection. Not thread safe.
class response_parser
{
public:
    /// How far a reply has come.
    enum class progress
    {
        incomplete,
        complete,
        invalid,
    };

    using body_sink = std::function<void(std::string_view)>;

    /// Takes bytes and hands the body's to `on_body`. Precondition: the reply
    /// is not complete or invalid.
    progress feed(std::string_view data, const body_sink& on_body);

    /// Takes the end of the connection.
    progress close();

    /// Tells whether the head was read.
    [[nodiscard]] bool has_head() const;

    /// Returns the head. Precondition: `has_head()`.
    [[nodiscard]] const response_head& head() const;

    /// Tells whether anything was read.
    [[nodiscard]] bool has_started() const;

    /// Tells whether the connection can be used again. Precondition: the
    /// reply is complete.
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
    /// A line, or the head, that is not yet whole.
    std::string m_pending;
    std::uint64_t m_remaining_bytes = 0;
};

} // namespace turmeric::load
