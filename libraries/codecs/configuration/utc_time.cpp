#include "libraries/codecs/configuration/utc_time.hpp"

#include <array>
#include <cstdio>

namespace turmeric::codecs
{

namespace
{

constexpr int max_fraction_digits = 9;

struct utc_fields
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    unsigned hour = 0;
    unsigned minute = 0;
    unsigned second = 0;
    int length = 0;
};

bool is_valid(const utc_fields& fields)
{
    const std::chrono::year_month_day date(std::chrono::year(fields.year),
                                           std::chrono::month(fields.month),
                                           std::chrono::day(fields.day));
    return date.ok() && fields.hour < 24 && fields.minute < 60 &&
           fields.second < 60;
}

/// Parses the end of a time, such as ".250Z" or "Z"; returns nothing if the
/// text has neither form.
std::optional<std::chrono::milliseconds> parse_fraction(const std::string& text)
{
    if (text == "Z")
    {
        return std::chrono::milliseconds(0);
    }
    const bool is_well_formed = text.size() >= 3 &&
                                text.size() <= 2 + max_fraction_digits &&
                                text.front() == '.' && text.back() == 'Z';
    if (!is_well_formed)
    {
        return std::nullopt;
    }
    int thousandths = 0;
    int unit = 100;
    for (std::size_t index = 1; index + 1 < text.size(); ++index)
    {
        if (text[index] < '0' || text[index] > '9')
        {
            return std::nullopt;
        }
        thousandths += (text[index] - '0') * unit;
        unit /= 10;
    }
    return std::chrono::milliseconds(thousandths);
}

} // namespace

std::string format_utc_time(std::chrono::system_clock::time_point time)
{
    const std::chrono::sys_days day =
        std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(
        std::chrono::floor<std::chrono::milliseconds>(time - day));
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d",
                  static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()));
    std::string formatted = text.data();
    const int fraction = static_cast<int>(clock.subseconds().count());
    if (fraction != 0)
    {
        std::snprintf(text.data(), text.size(), ".%03d", fraction);
        formatted += text.data();
    }
    return formatted + 'Z';
}

std::optional<std::chrono::system_clock::time_point>
parse_utc_time(const std::string& text)
{
    utc_fields fields;
    // The field widths limit the numbers, so that no conversion overflows.
    const int read = std::sscanf( // NOLINT(cert-err34-c)
        text.c_str(), "%4d-%2u-%2uT%2u:%2u:%2u%n", &fields.year, &fields.month,
        &fields.day, &fields.hour, &fields.minute, &fields.second,
        &fields.length);
    constexpr int expected_field_count = 6;
    if (read != expected_field_count || fields.length == 0 || !is_valid(fields))
    {
        return std::nullopt;
    }
    const std::optional<std::chrono::milliseconds> fraction =
        parse_fraction(text.substr(static_cast<std::size_t>(fields.length)));
    if (!fraction)
    {
        return std::nullopt;
    }
    const std::chrono::sys_days day = std::chrono::year_month_day(
        std::chrono::year(fields.year), std::chrono::month(fields.month),
        std::chrono::day(fields.day));
    return day + std::chrono::hours(fields.hour) +
           std::chrono::minutes(fields.minute) +
           std::chrono::seconds(fields.second) + *fraction;
}

} // namespace turmeric::codecs
