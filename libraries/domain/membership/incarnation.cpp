#include "libraries/domain/membership/incarnation.hpp"

#include <fmt/format.h>

namespace turmeric::domain
{

std::string make_incarnation(std::string_view vm, std::uint64_t number)
{
    return fmt::format("{}-{:016x}", vm, number);
}

bool is_incarnation_of(std::string_view incarnation, std::string_view vm)
{
    constexpr std::size_t number_length = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    if (incarnation.size() != vm.size() + 1 + number_length ||
        !incarnation.starts_with(vm) || incarnation[vm.size()] != '-')
    {
        return false;
    }
    const std::string_view number = incarnation.substr(vm.size() + 1);
    return number.find_first_not_of(digits) == std::string_view::npos;
}

} // namespace turmeric::domain
