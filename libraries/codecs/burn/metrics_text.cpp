#include "libraries/codecs/burn/metrics_text.hpp"

#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <optional>

namespace turmeric::codecs
{

namespace
{

/// Parses one sample line from left to right.
class line_reader
{
public:
    explicit line_reader(std::string_view text)
        : m_rest(text)
    {
    }

    std::optional<metrics_line> read()
    {
        metrics_line line;
        const std::size_t name_end = m_rest.find_first_of("{ ");
        if (name_end == 0 || name_end == std::string_view::npos)
        {
            return std::nullopt;
        }
        line.name = m_rest.substr(0, name_end);
        m_rest.remove_prefix(name_end);
        if (m_rest.front() == '{' && !read_labels(line.labels))
        {
            return std::nullopt;
        }
        const std::optional<double> value = read_value();
        if (!value)
        {
            return std::nullopt;
        }
        line.value = *value;
        return line;
    }

private:
    bool consume(char character)
    {
        if (m_rest.empty() || m_rest.front() != character)
        {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    bool read_labels(std::map<std::string, std::string>& labels)
    {
        consume('{');
        while (!consume('}'))
        {
            const std::size_t equals = m_rest.find('=');
            if (equals == std::string_view::npos)
            {
                return false;
            }
            const std::string name(m_rest.substr(0, equals));
            m_rest.remove_prefix(equals + 1);
            const std::optional<std::string> value = read_quoted();
            if (!value)
            {
                return false;
            }
            labels[name] = *value;
            consume(',');
        }
        return true;
    }

    std::optional<std::string> read_quoted()
    {
        if (!consume('"'))
        {
            return std::nullopt;
        }
        std::string value;
        while (!m_rest.empty() && m_rest.front() != '"')
        {
            char character = m_rest.front();
            m_rest.remove_prefix(1);
            if (character == '\\' && !m_rest.empty())
            {
                character = m_rest.front() == 'n' ? '\n' : m_rest.front();
                m_rest.remove_prefix(1);
            }
            value += character;
        }
        return consume('"') ? std::optional<std::string>(value) : std::nullopt;
    }

    std::optional<double> read_value()
    {
        while (consume(' '))
        {
        }
        const std::string_view text = m_rest.substr(0, m_rest.find(' '));
        if (text == "+Inf")
        {
            return std::numeric_limits<double>::infinity();
        }
        double value = 0;
        const std::from_chars_result read =
            std::from_chars(text.data(), text.data() + text.size(), value);
        const bool is_complete =
            read.ec == std::errc() && read.ptr == text.data() + text.size();
        return is_complete ? std::optional<double>(value) : std::nullopt;
    }

    std::string_view m_rest;
};

} // namespace

result<std::vector<metrics_line>> parse_metrics(std::string_view text)
{
    std::vector<metrics_line> lines;
    std::size_t number = 0;
    while (!text.empty())
    {
        ++number;
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size()
                                                         : end + 1);
        if (!line.empty() && line.back() == '\r')
        {
            line.remove_suffix(1);
        }
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        const std::optional<metrics_line> read = line_reader(line).read();
        if (!read)
        {
            return error{result_code::peer_protocol,
                         fmt::format("line {}", number),
                         "not a sample line of the Prometheus text format"};
        }
        lines.push_back(*read);
    }
    return lines;
}

} // namespace turmeric::codecs
