#include "libraries/domain/configuration/validation_error_list.hpp"

#include "libraries/domain/configuration/validation.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmeric::domain
{

namespace
{

constexpr std::size_t key_digest_length = 64;
constexpr int max_port = 65'535;

bool is_alphanumeric(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
}

bool is_name_character(char letter)
{
    return is_alphanumeric(letter) || letter == '.' || letter == '_' ||
           letter == '-';
}

bool is_hexadecimal(char letter)
{
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
}

} // namespace

void validation_error_list::expect(bool is_met, const std::string& path,
                                   const std::string& expectation)
{
    if (!is_met)
    {
        m_errors.push_back(error{result_code::configuration_invalid, path,
                                 "expected " + expectation});
    }
}

void validation_error_list::expect_name(const std::string& name,
                                        const std::string& path)
{
    const bool is_well_formed =
        !name.empty() && name.size() <= max_name_length &&
        is_alphanumeric(name.front()) &&
        std::all_of(name.begin(), name.end(), is_name_character);
    expect(is_well_formed, path,
           "1 to 63 characters out of a-z, 0-9, '.', '_' and '-', the first "
           "a letter or digit");
}

void validation_error_list::expect_range(std::int64_t value,
                                         std::int64_t lowest,
                                         std::int64_t highest,
                                         const std::string& path)
{
    expect(value >= lowest && value <= highest, path,
           "a value from " + std::to_string(lowest) + " to " +
               std::to_string(highest) + ", found " + std::to_string(value));
}

void validation_error_list::expect_share(double value, const std::string& path)
{
    expect(value > 0.0 && value <= 1.0, path, "a share above 0 and up to 1");
}

std::vector<error> validation_error_list::take()
{
    return std::exchange(m_errors, {});
}

bool is_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return false;
    }
    const std::string_view digits = text.substr(colon + 1);
    int port = 0;
    const std::from_chars_result read =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool is_integer =
        read.ec == std::errc{} && read.ptr == digits.data() + digits.size();
    return is_integer && port > 0 && port <= max_port;
}

bool is_key_digest(std::string_view text)
{
    return text.size() == key_digest_length &&
           std::all_of(text.begin(), text.end(), is_hexadecimal);
}

} // namespace turmeric::domain
