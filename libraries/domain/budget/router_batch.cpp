#include "libraries/domain/budget/router_batch.hpp"

#include <array>

namespace turmeric::domain
{

std::string_view name_of(batch_state state)
{
    constexpr std::array<std::string_view, 4> names{"applied", "stale",
                                                    "closed", "full"};
    return names.at(static_cast<std::size_t>(state));
}

std::string_view name_of(bill_state state)
{
    constexpr std::array<std::string_view, 5> names{
        "billed", "duplicate", "reused", "refused", "expired"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace turmeric::domain
