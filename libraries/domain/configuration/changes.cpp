#include "libraries/domain/configuration/changes.hpp"

#include <array>
#include <map>

namespace turmeric::domain
{

namespace
{

template <class Declaration>
using objects_by_name = std::map<std::string, const Declaration*>;

template <class Declaration>
objects_by_name<Declaration> index(const configuration& owner,
                                   const object_list<Declaration>& objects)
{
    objects_by_name<Declaration> indexed;
    for (const Declaration& object : owner.*objects.list)
    {
        indexed[object.*objects.name] = &object;
    }
    return indexed;
}

template <class Declaration>
void append_changes(const configuration& from, const configuration& to,
                    const object_list<Declaration>& objects,
                    std::vector<object_change>& changes)
{
    const objects_by_name<Declaration> before = index(from, objects);
    const objects_by_name<Declaration> after = index(to, objects);
    for (const auto& [name, object] : after)
    {
        auto old = before.find(name);
        if (old == before.end())
        {
            changes.push_back({objects.kind, name, change_kind::added});
        }
        else if (!(*old->second == *object))
        {
            changes.push_back({objects.kind, name, change_kind::changed});
        }
    }
    for (const auto& [name, object] : before)
    {
        if (after.count(name) == 0)
        {
            changes.push_back({objects.kind, name, change_kind::removed});
        }
    }
}

void keep_key_digests(const configuration& base, configuration& wanted)
{
    for (account_declaration& account : wanted.accounts)
    {
        const account_declaration* old = find_account(base, account.name);
        if (old != nullptr && account.key_digests.empty())
        {
            account.key_digests = old->key_digests;
        }
    }
}

} // namespace

std::string_view name_of(change_kind change)
{
    constexpr std::array<std::string_view, 3> names = {"added", "changed",
                                                       "removed"};
    return names.at(static_cast<std::size_t>(change));
}

std::vector<object_change> changes_between(const configuration& from,
                                           const configuration& to)
{
    std::vector<object_change> changes;
    visit_object_lists([&](const auto& objects)
                       { append_changes(from, to, objects, changes); });
    return changes;
}

configuration with_declarations(const configuration& base,
                                const configuration& declared, bool is_complete)
{
    configuration wanted = declared;
    wanted.version = base.version;
    keep_key_digests(base, wanted);
    if (!is_complete)
    {
        visit_object_lists(
            [&](const auto& objects)
            {
                for (const auto& object : base.*objects.list)
                {
                    const std::string& name = object.*objects.name;
                    if (find_object(declared, objects, name) == nullptr)
                    {
                        (wanted.*objects.list).push_back(object);
                    }
                }
            });
    }
    sort_objects(wanted);
    return wanted;
}

} // namespace turmeric::domain
