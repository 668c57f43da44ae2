#include "utilities/turmeric_load/reply_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace turmeric::load
{

namespace
{

constexpr std::size_t most_line_bytes = 65'536;

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

std::string reply_head::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

reply_parser::progress reply_parser::feed(std::string_view data,
                                          const body_sink& on_body)
{
    while (!data.empty() && m_state != state::complete &&
           m_state != state::invalid)
    {
        step(data, on_body);
    }
    if (m_state == state::invalid)
    {
        return progress::invalid;
    }
    return m_state == state::complete ? progress::complete : progress::more;
}

reply_parser::progress reply_parser::close()
{
    const bool is_whole =
        m_state == state::open_body || m_state == state::complete;
    m_state = is_whole ? state::complete : state::invalid;
    return is_whole ? progress::complete : progress::invalid;
}

bool reply_parser::has_head() const
{
    return m_head.status != 0;
}

const reply_head& reply_parser::head() const
{
    return m_head;
}

bool reply_parser::has_begun() const
{
    return has_head() || !m_pending.empty();
}

bool reply_parser::keeps_connection() const
{
    const bool has_end = m_head.headers.contains("content-length") ||
                         m_head.headers.contains("transfer-encoding");
    return has_end && lower(m_head.header("connection")) != "close";
}

bool reply_parser::take_line(std::string_view& data)
{
    const std::size_t end = data.find('\n');
    const std::size_t taken = end == std::string_view::npos ? data.size() : end;
    m_pending.append(data.substr(0, taken));
    if (m_pending.size() > most_line_bytes)
    {
        m_state = state::invalid;
        return false;
    }
    data.remove_prefix(end == std::string_view::npos ? taken : taken + 1);
    return end != std::string_view::npos;
}

void reply_parser::step(std::string_view& data, const body_sink& on_body)
{
    switch (m_state)
    {
    case state::head:
        if (take_line(data) && !read_head())
        {
            m_state = state::invalid;
        }
        return;
    case state::counted_body:
        pass_body(data, on_body, state::complete);
        return;
    case state::chunk_data:
        pass_body(data, on_body, state::chunk_end);
        return;
    case state::open_body:
        on_body(data);
        data = {};
        return;
    case state::chunk_size:
        if (take_line(data))
        {
            read_chunk_size();
        }
        return;
    case state::chunk_end:
        if (take_line(data))
        {
            m_pending.clear();
            m_state = state::chunk_size;
        }
        return;
    case state::trailer:
        if (take_line(data))
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

bool reply_parser::read_head()
{
    const std::string line(trim(m_pending));
    m_pending.clear();
    if (!has_head())
    {
        const std::size_t space = line.find(' ');
        constexpr int decimal = 10;
        return space != std::string::npos && line.starts_with("HTTP/1.") &&
               read_number(std::string_view(line).substr(space + 1),
                           m_head.status, decimal);
    }
    if (line.empty())
    {
        choose_body();
        return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    m_head.headers[lower(line.substr(0, colon))] =
        trim(std::string_view(line).substr(colon + 1));
    return true;
}

void reply_parser::choose_body()
{
    if (lower(m_head.header("transfer-encoding")) == "chunked")
    {
        m_state = state::chunk_size;
        return;
    }
    const std::string length = m_head.header("content-length");
    if (length.empty())
    {
        m_state = state::open_body;
        return;
    }
    constexpr int decimal = 10;
    if (!read_number(length, m_left, decimal))
    {
        m_state = state::invalid;
        return;
    }
    m_state = m_left == 0 ? state::complete : state::counted_body;
}

void reply_parser::read_chunk_size()
{
    constexpr int hexadecimal = 16;
    const bool is_number = read_number(m_pending, m_left, hexadecimal);
    m_pending.clear();
    if (!is_number)
    {
        m_state = state::invalid;
        return;
    }
    m_state = m_left == 0 ? state::trailer : state::chunk_data;
}

void reply_parser::pass_body(std::string_view& data, const body_sink& on_body,
                             state after)
{
    const std::size_t length = std::min<std::uint64_t>(m_left, data.size());
    on_body(data.substr(0, length));
    data.remove_prefix(length);
    m_left -= length;
    if (m_left == 0)
    {
        m_state = after;
    }
}

} // namespace turmeric::load
