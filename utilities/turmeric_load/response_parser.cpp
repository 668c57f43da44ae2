#include "utilities/turmeric_load/response_parser.hpp"

#include "libraries/ports/http_syntax.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace turmeric::load
{

namespace
{

constexpr std::size_t max_line_bytes = 65'536;

std::string lower(std::string_view text)
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return lowered;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
    {
        text.remove_suffix(1);
    }
    return text;
}

template <class Number>
bool read_number(std::string_view text, Number& number, int base)
{
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number, base);
    return parsed.ec == std::errc();
}

} // namespace

std::string response_head::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

response_parser::progress response_parser::feed(std::string_view data,
                                                const body_sink& on_body)
{
    while (!data.empty() && m_state != state::complete &&
           m_state != state::invalid)
    {
        parse_next(data, on_body);
    }
    if (m_state == state::invalid)
    {
        return progress::invalid;
    }
    return m_state == state::complete ? progress::complete
                                      : progress::incomplete;
}

response_parser::progress response_parser::close()
{
    const bool is_complete =
        m_state == state::close_delimited_body || m_state == state::complete;
    m_state = is_complete ? state::complete : state::invalid;
    return is_complete ? progress::complete : progress::invalid;
}

bool response_parser::has_head() const
{
    return m_head.status != 0;
}

const response_head& response_parser::head() const
{
    return m_head;
}

bool response_parser::has_started() const
{
    return has_head() || !m_pending.empty();
}

bool response_parser::keeps_connection() const
{
    const bool has_end = m_head.headers.contains("content-length") ||
                         m_head.headers.contains("transfer-encoding");
    return has_end && lower(m_head.header("connection")) != "close";
}

bool response_parser::consume_line(std::string_view& data)
{
    const std::size_t end = data.find('\n');
    const std::size_t line_length =
        end == std::string_view::npos ? data.size() : end;
    m_pending.append(data.substr(0, line_length));
    if (m_pending.size() > max_line_bytes)
    {
        m_state = state::invalid;
        return false;
    }
    data.remove_prefix(end == std::string_view::npos ? line_length
                                                     : line_length + 1);
    return end != std::string_view::npos;
}

void response_parser::parse_next(std::string_view& data,
                                 const body_sink& on_body)
{
    switch (m_state)
    {
    case state::head:
        if (consume_line(data) && !parse_header_line())
        {
            m_state = state::invalid;
        }
        return;
    case state::fixed_length_body:
        forward_body(data, on_body, state::complete);
        return;
    case state::chunk_data:
        forward_body(data, on_body, state::chunk_end);
        return;
    case state::close_delimited_body:
        on_body(data);
        data = {};
        return;
    case state::chunk_size:
        if (consume_line(data))
        {
            parse_chunk_size();
        }
        return;
    case state::chunk_end:
        if (consume_line(data))
        {
            m_pending.clear();
            m_state = state::chunk_size;
        }
        return;
    case state::trailer:
        if (consume_line(data))
        {
            const bool is_last = trim(m_pending).empty();
            m_pending.clear();
            m_state = is_last ? state::complete : state::trailer;
        }
        return;
    case state::complete:
    case state::invalid:
        return;
    }
}

bool response_parser::parse_header_line()
{
    const std::string line(trim(m_pending));
    m_pending.clear();
    if (!has_head())
    {
        const std::size_t space = line.find(' ');
        constexpr int decimal = 10;
        return space != std::string::npos && line.starts_with("HTTP/1.") &&
               read_number(std::string_view(line).substr(space + 1),
                           m_head.status, decimal) &&
               ports::is_valid_status(m_head.status);
    }
    if (line.empty())
    {
        select_body_framing();
        return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos ||
        !ports::is_field_name(std::string_view(line).substr(0, colon)))
    {
        return false;
    }
    m_head.headers[lower(line.substr(0, colon))] =
        trim(std::string_view(line).substr(colon + 1));
    return true;
}

void response_parser::select_body_framing()
{
    if (lower(m_head.header("transfer-encoding")) == "chunked")
    {
        m_state = state::chunk_size;
        return;
    }
    const std::string length = m_head.header("content-length");
    if (length.empty())
    {
        m_state = state::close_delimited_body;
        return;
    }
    constexpr int decimal = 10;
    if (!read_number(length, m_remaining_bytes, decimal))
    {
        m_state = state::invalid;
        return;
    }
    m_state =
        m_remaining_bytes == 0 ? state::complete : state::fixed_length_body;
}

void response_parser::parse_chunk_size()
{
    constexpr int hexadecimal = 16;
    const bool is_number =
        read_number(m_pending, m_remaining_bytes, hexadecimal);
    m_pending.clear();
    if (!is_number)
    {
        m_state = state::invalid;
        return;
    }
    m_state = m_remaining_bytes == 0 ? state::trailer : state::chunk_data;
}

void response_parser::forward_body(std::string_view& data,
                                   const body_sink& on_body, state after)
{
    const std::size_t length =
        std::min<std::uint64_t>(m_remaining_bytes, data.size());
    on_body(data.substr(0, length));
    data.remove_prefix(length);
    m_remaining_bytes -= length;
    if (m_remaining_bytes == 0)
    {
        m_state = after;
    }
}

} // namespace turmeric::load
