#include "libraries/drivers/fleet/prepaid_record_key.hpp"

#include <charconv>
#include <fmt/format.h>

namespace turmeric::drivers
{

namespace
{

/// Begins the part of a key that names its era.
constexpr char era_mark = '@';

} // namespace

std::string write_record_key(const prepaid_record_key& key)
{
    if (key.era == 0)
    {
        return fmt::format("{}{}", prepaid_record_prefix, key.account);
    }
    return fmt::format("{}{}{}/{}", prepaid_record_prefix, era_mark, key.era,
                       key.account);
}

std::optional<prepaid_record_key> read_record_key(std::string_view text)
{
    if (!text.starts_with(prepaid_record_prefix))
    {
        return std::nullopt;
    }
    const std::string_view name = text.substr(prepaid_record_prefix.size());
    prepaid_record_key key;
    if (!name.starts_with(era_mark))
    {
        key.account = name;
        return key;
    }
    const std::size_t slash = name.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view digits = name.substr(1, slash - 1);
    const char* const end = digits.data() + digits.size();
    const auto [rest, failure] = std::from_chars(digits.data(), end, key.era);
    if (failure != std::errc() || rest != end || key.era <= 0)
    {
        return std::nullopt;
    }
    key.account = name.substr(slash + 1);
    return key;
}

} // namespace turmeric::drivers
