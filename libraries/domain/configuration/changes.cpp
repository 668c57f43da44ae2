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

template <class Declaration>
Declaration* find_mutable(std::vector<Declaration>& list,
                          const std::string& name)
{
    auto found = std::find_if(list.begin(), list.end(),
                              [&name](const Declaration& candidate)
                              { return candidate.name == name; });
    return found == list.end() ? nullptr : &*found;
}

/// Copies the fields that `declared` leaves unspecified.
void copy_unspecified_fields(const configuration& from,
                             const declaration_set& declared, configuration& to)
{
    for (const account_declaration& account : from.accounts)
    {
        const account_declaration* wanted =
            find_account(declared.objects, account.name);
        account_declaration* target = find_mutable(to.accounts, account.name);
        if (wanted != nullptr && wanted->key_digests.empty() &&
            target != nullptr)
        {
            target->key_digests = account.key_digests;
        }
    }
    for (const upstream_declaration& upstream : from.upstreams)
    {
        upstream_declaration* target =
            find_mutable(to.upstreams, upstream.name);
        if (target != nullptr &&
            declared.upstreams_without_state.contains(upstream.name))
        {
            target->state = upstream.state;
        }
    }
}

/// Adds the objects of `base` that are not in `wanted`.
template <class Declaration>
void add_undeclared_objects(const configuration& base,
                            const object_list<Declaration>& objects,
                            configuration& wanted)
{
    std::vector<Declaration> others;
    for (const Declaration& object : base.*objects.list)
    {
        if (find_object(wanted, objects, object.*objects.name) == nullptr)
        {
            others.push_back(object);
        }
    }
    std::vector<Declaration>& list = wanted.*objects.list;
    list.insert(list.end(), others.begin(), others.end());
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
                                const declaration_set& declared)
{
    configuration wanted = declared.objects;
    wanted.version = base.version;
    copy_unspecified_fields(base, declared, wanted);
    visit_object_lists(
        [&](const auto& objects)
        {
            if (!declared.is_complete || objects.kind == object_kind::vm)
            {
                add_undeclared_objects(base, objects, wanted);
            }
        });
    sort_objects(wanted);
    return wanted;
}

void adopt_unspecified_fields(const configuration& current,
                              const declaration_set& declared,
                              configuration& base)
{
    copy_unspecified_fields(current, declared, base);
}

} // namespace turmeric::domain
