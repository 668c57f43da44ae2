#pragma once

#include "libraries/codecs/configuration/field_values.hpp"
#include "libraries/domain/configuration/declarations.hpp"

#include <string_view>
#include <tuple>

namespace turmeric::codecs
{

/// Whether a field must be present in a document.
enum class presence : std::uint8_t
{
    optional,
    required,
};

/// A member of a declared type, its name in JSON and whether it is required.
template <class Owner, class Member>
struct field
{
    std::string_view name;
    Member Owner::*member;
    presence requirement = presence::optional;
};

template <class Owner, class Member>
field(std::string_view, Member Owner::*) -> field<Owner, Member>;
template <class Owner, class Member>
field(std::string_view, Member Owner::*, presence) -> field<Owner, Member>;

/// The fields of a declared type, in the order in which they are encoded and
/// decoded.
template <class Owner>
inline constexpr std::tuple<> fields_of = {};

template <>
inline constexpr auto fields_of<domain::budget_declaration> = std::tuple{
    field{"name", &domain::budget_declaration::name, presence::required},
    field{"routes", &domain::budget_declaration::routes},
};

template <>
inline constexpr auto fields_of<domain::account_declaration> = std::tuple{
    field{"name", &domain::account_declaration::name, presence::required},
    field{"key_digests", &domain::account_declaration::key_digests},
    field{"budgets", &domain::account_declaration::budgets},
    field{"weight", &domain::account_declaration::weight},
    field{"priority", &domain::account_declaration::priority},
};

template <>
inline constexpr auto fields_of<domain::version_share> = std::tuple{
    field{"version", &domain::version_share::version, presence::required},
    field{"parts_per_million", &domain::version_share::parts_per_million,
          presence::required},
};

template <>
inline constexpr auto fields_of<domain::objective_declaration> = std::tuple{
    field{"availability", &domain::objective_declaration::availability},
    field{"first_token_ms", &domain::objective_declaration::first_token},
    field{"token_gap_ms", &domain::objective_declaration::token_gap},
    field{"latency_share", &domain::objective_declaration::latency_share},
};

template <>
inline constexpr auto fields_of<domain::route_declaration> = std::tuple{
    field{"name", &domain::route_declaration::name, presence::required},
    field{"upstream_kind", &domain::route_declaration::kind},
    field{"versions", &domain::route_declaration::versions, presence::required},
    field{"is_idempotent", &domain::route_declaration::is_idempotent},
    field{"tokens_per_call", &domain::route_declaration::tokens_per_call},
    field{"max_tokens", &domain::route_declaration::max_tokens},
    field{"idle_timeout_ms", &domain::route_declaration::idle_timeout},
    field{"objective", &domain::route_declaration::objective},
};

template <>
inline constexpr auto fields_of<domain::upstream_declaration> = std::tuple{
    field{"name", &domain::upstream_declaration::name, presence::required},
    field{"address", &domain::upstream_declaration::address,
          presence::required},
    field{"data_centre", &domain::upstream_declaration::data_centre,
          presence::required},
    field{"versions", &domain::upstream_declaration::versions,
          presence::required},
    field{"capacity", &domain::upstream_declaration::capacity,
          presence::required},
    field{"state", &domain::upstream_declaration::state},
    field{"has_fencing", &domain::upstream_declaration::has_fencing},
};

template <>
inline constexpr auto fields_of<domain::move_declaration> = std::tuple{
    field{"route", &domain::move_declaration::route, presence::required},
    field{"from_version", &domain::move_declaration::from_version,
          presence::required},
    field{"to_version", &domain::move_declaration::to_version,
          presence::required},
    field{"start", &domain::move_declaration::start, presence::required},
    field{"deadline", &domain::move_declaration::deadline, presence::required},
    field{"steps", &domain::move_declaration::steps},
    field{"soak_s", &domain::move_declaration::soak},
};

template <>
inline constexpr auto fields_of<domain::vm_declaration> = std::tuple{
    field{"name", &domain::vm_declaration::name, presence::required},
    field{"state", &domain::vm_declaration::state},
};

} // namespace turmeric::codecs
