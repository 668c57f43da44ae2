#include "libraries/domain/configuration/object_lists.hpp"

#include <array>

namespace turmeric::domain
{

std::string_view name_of(object_kind kind)
{
    constexpr std::array<std::string_view, 5> names = {
        "account", "route", "upstream", "move", "vm"};
    return names.at(static_cast<std::size_t>(kind));
}

const account_declaration* find_account(const configuration& owner,
                                        const std::string& name)
{
    const object_list<account_declaration> accounts{object_kind::account,
                                                    &configuration::accounts,
                                                    &account_declaration::name};
    return find_object(owner, accounts, name);
}

void sort_objects(configuration& owner)
{
    visit_object_lists(
        [&owner](const auto& objects)
        {
            auto& list = owner.*objects.list;
            std::stable_sort(
                list.begin(), list.end(),
                [&objects](const auto& left, const auto& right)
                { return left.*objects.name < right.*objects.name; });
        });
}

} // namespace turmeric::domain
