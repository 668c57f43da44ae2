#include "libraries/adapters/httplib/response_head_reader.hpp"

#include "libraries/ports/http_syntax.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmeric::adapters
{

namespace
{

using ports::response_defect;

constexpr std::size_t max_head_bytes = 64 << 10;
constexpr std::int32_t max_interim_responses = 8;
constexpr int switching_protocols = 101;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view version_start = "HTTP/1.";

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Returns the status in the first line of a head, or -1 if it is no number of
/// three digits. Precondition: the head begins with the version.
int status_of(std::string_view head)
{
    const std::string_view status_line = head.substr(0, head.find(line_end));
    constexpr std::size_t status_at = version_start.size() + 2;
    constexpr std::size_t status_digits = 3;
    constexpr int decimal = 10;
    const std::string_view digits =
        status_line.substr(std::min(status_at, status_line.size()));
    if (digits.size() < status_digits ||
        !std::all_of(digits.begin(), digits.begin() + status_digits,
                     is_digit) ||
        (digits.size() > status_digits && digits[status_digits] != ' '))
    {
        return -1;
    }
    int status = 0;
    for (const char digit : digits.substr(0, status_digits))
    {
        status = status * decimal + (digit - '0');
    }
    return status;
}

/// Returns whether a line begins with the version of HTTP that clients speak
/// here and a blank.
bool has_version(std::string_view status_line)
{
    constexpr std::size_t minor_at = version_start.size();
    return status_line.starts_with(version_start) &&
           status_line.size() > minor_at + 1 &&
           (status_line[minor_at] == '0' || status_line[minor_at] == '1') &&
           status_line[minor_at + 1] == ' ';
}

/// Returns whether a byte may be part of a field's value or of a reason.
bool is_text_byte(char byte)
{
    constexpr unsigned char first_text = 0x20;
    constexpr unsigned char delete_byte = 0x7f;
    const unsigned char code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= first_text && code != delete_byte);
}

bool is_text(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_text_byte);
}

response_defect check_field_line(std::string_view line, bool is_first)
{
    const bool is_continuation = line.front() == ' ' || line.front() == '\t';
    if (is_continuation && !is_first)
    {
        return is_text(line) ? response_defect::none
                             : response_defect::invalid_syntax;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos ||
        !ports::is_field_name(line.substr(0, colon)))
    {
        return response_defect::invalid_field_name;
    }
    return is_text(line.substr(colon + 1)) ? response_defect::none
                                           : response_defect::invalid_syntax;
}

} // namespace

response_head_reader::progress
response_head_reader::append(std::string_view bytes)
{
    m_has_begun = m_has_begun || !bytes.empty();
    m_bytes += bytes;
    while (true)
    {
        const std::size_t blank_line = m_bytes.find(head_end);
        const std::size_t end = blank_line == std::string::npos
                                    ? m_bytes.size()
                                    : blank_line + head_end.size();
        if (end > max_head_bytes)
        {
            return fail(response_defect::too_long);
        }
        if (blank_line == std::string::npos)
        {
            return progress::incomplete;
        }
        const response_defect found = check_head(end);
        if (found != response_defect::none)
        {
            return fail(found);
        }
        const int status = status_of(m_bytes);
        if (!ports::is_interim_status(status))
        {
            return progress::complete;
        }
        ++m_interim_responses;
        if (status == switching_protocols ||
            m_interim_responses > max_interim_responses)
        {
            return fail(response_defect::unexpected_responses);
        }
        m_bytes.erase(0, end);
    }
}

response_defect response_head_reader::check_head(std::size_t end) const
{
    std::string_view lines =
        std::string_view(m_bytes).substr(0, end - line_end.size());
    const std::size_t status_line_end = lines.find(line_end);
    const std::string_view status_line = lines.substr(0, status_line_end);
    if (!has_version(status_line))
    {
        return response_defect::invalid_syntax;
    }
    if (!ports::is_valid_status(status_of(status_line)))
    {
        return response_defect::invalid_status;
    }
    if (!is_text(status_line))
    {
        return response_defect::invalid_syntax;
    }
    lines.remove_prefix(status_line_end + line_end.size());
    bool is_first = true;
    while (!lines.empty())
    {
        const std::size_t length = lines.find(line_end);
        const response_defect found =
            check_field_line(lines.substr(0, length), is_first);
        if (found != response_defect::none)
        {
            return found;
        }
        lines.remove_prefix(length + line_end.size());
        is_first = false;
    }
    return response_defect::none;
}

response_head_reader::progress
response_head_reader::fail(response_defect defect)
{
    m_defect = defect;
    return progress::invalid;
}

response_defect response_head_reader::defect() const
{
    return m_defect;
}

bool response_head_reader::has_begun() const
{
    return m_has_begun;
}

std::string response_head_reader::take_bytes()
{
    assert(m_bytes.find(head_end) != std::string::npos);
    return std::exchange(m_bytes, std::string());
}

} // namespace turmeric::adapters
