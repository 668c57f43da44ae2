#pragma once

#include "libraries/domain/configuration/declarations.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::domain
{

/// The kinds of declared objects.
enum class object_kind : std::uint8_t
{
    account,
    route,
    upstream,
    move,
    vm,
};

/// Returns the name used in declarations. Thread safe.
[[nodiscard]] std::string_view name_of(object_kind kind);

/// Describes how to access the objects of one declared type: the list of a
/// configuration that holds them, and the member with an object's name.
template <class Declaration>
struct object_list
{
    using declaration = Declaration;
    object_kind kind;
    std::vector<Declaration> configuration::*list;
    std::string Declaration::*name;
};

/// Calls `visit` with the `object_list` of each declared type. Thread safe.
template <class Visitor>
void visit_object_lists(Visitor&& visit)
{
    visit(object_list<account_declaration>{object_kind::account,
                                           &configuration::accounts,
                                           &account_declaration::name});
    visit(object_list<route_declaration>{
        object_kind::route, &configuration::routes, &route_declaration::name});
    visit(object_list<upstream_declaration>{object_kind::upstream,
                                            &configuration::upstreams,
                                            &upstream_declaration::name});
    visit(object_list<move_declaration>{
        object_kind::move, &configuration::moves, &move_declaration::route});
    visit(object_list<vm_declaration>{object_kind::vm, &configuration::vms,
                                      &vm_declaration::name});
}

/// Returns the object called `name`, or null. Thread safe.
template <class Declaration>
[[nodiscard]] const Declaration*
find_object(const configuration& owner, const object_list<Declaration>& objects,
            const std::string& name)
{
    const std::vector<Declaration>& list = owner.*objects.list;
    auto found = std::find_if(list.begin(), list.end(),
                              [&](const Declaration& candidate)
                              { return candidate.*objects.name == name; });
    return found == list.end() ? nullptr : &*found;
}

/// Returns the account called `name`, or null. Thread safe.
[[nodiscard]] const account_declaration*
find_account(const configuration& owner, const std::string& name);

/// Sorts each list by name, so that configurations with the same objects are
/// equal and are encoded alike. Thread safe.
void sort_objects(configuration& owner);

} // namespace turmeric::domain
