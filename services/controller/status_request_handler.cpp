#include "services/controller/status_request_handler.hpp"

#include "libraries/adapters/protobuf/declaration_messages.hpp"
#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"
#include "libraries/codecs/move/move_state_codec.hpp"
#include "libraries/drivers/configuration/configuration_keys.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <utility>

namespace turmeric::controller
{

namespace
{

constexpr std::size_t max_status_threads = 16;
constexpr std::chrono::milliseconds status_timeout{1'000};

std::int64_t version_from_status(const std::string& response)
{
    const result<json> parsed =
        codecs::parse_json(response, result_code::peer_protocol, "status");
    const bool has_version =
        parsed && parsed.value().is_object() &&
        parsed.value().contains("configuration_version") &&
        parsed.value()["configuration_version"].is_number_integer();
    return has_version
               ? parsed.value()["configuration_version"].get<std::int64_t>()
               : 0;
}

void set_declared(const domain::configuration& declared,
                  const std::string& route, v1::MoveStatus& status)
{
    v1::Declaration declaration;
    const json form =
        codecs::encode_declaration(declared, domain::object_kind::move, route);
    if (!form.is_null() && adapters::declaration_from_json(form, declaration))
    {
        *status.mutable_declared() = declaration.move();
    }
}

void set_state(const std::string& text, v1::MoveStatus& status)
{
    status.set_state(text);
    const result<domain::move_state> state = codecs::decode_move_state(text);
    if (state)
    {
        status.set_phase(std::string(name_of(state.value().phase)));
        status.set_share(state.value().share);
        status.set_reason(state.value().reason);
    }
}

} // namespace

status_request_handler::status_request_handler(
    status_request_handler_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

operator_result<v1::ListMovesReply>
status_request_handler::list_moves(const v1::ListMovesRequest&)
{
    const result<domain::configuration> declared =
        m_dependencies.declarations.read(0);
    if (!declared)
    {
        return make_operator_error(declared.failure());
    }
    const result<ports::key_range> stored =
        m_dependencies.store.list(std::string(drivers::live_moves_prefix));
    if (!stored)
    {
        return make_operator_error(stored.failure());
    }
    std::map<std::string, std::string> states;
    for (const domain::move_declaration& move : declared.value().moves)
    {
        states[move.route] = "";
    }
    for (const ports::key_value& entry : stored.value().entries)
    {
        states[entry.key.substr(drivers::live_moves_prefix.size())] =
            entry.value;
    }
    v1::ListMovesReply reply;
    for (const auto& [route, state] : states)
    {
        v1::MoveStatus& row = *reply.add_moves();
        row.set_route(route);
        set_state(state, row);
        set_declared(declared.value(), route, row);
    }
    return reply;
}

operator_result<v1::GetStatusReply>
status_request_handler::get_status(const v1::GetStatusRequest&)
{
    // If the platform is unavailable, the members as last read are used.
    (void)m_dependencies.fleet.refresh();
    v1::GetStatusReply reply;
    reply.set_configuration_version(m_dependencies.follower.current()->version);
    reply.set_is_platform_up(m_dependencies.follower.is_platform_up());
    for (const std::string& duty : m_dependencies.led_duties())
    {
        reply.add_duties(duty);
    }
    for (v1::MemberStatus& row : query_routers(m_dependencies.fleet.members()))
    {
        *reply.add_routers() = std::move(row);
    }
    return reply;
}

v1::MemberStatus
status_request_handler::query_router(const domain::member& identity) const
{
    v1::MemberStatus row;
    row.set_incarnation(identity.incarnation);
    row.set_address(identity.address);
    row.set_vm(identity.vm);
    row.set_data_centre(identity.data_centre);
    const result<std::string> response = m_dependencies.peers.call(
        identity.peer_address, {"status", ""}, status_timeout);
    row.set_state(response ? "live" : "silent");
    row.set_configuration_version(
        response ? version_from_status(response.value()) : 0);
    return row;
}

std::vector<v1::MemberStatus> status_request_handler::query_routers(
    const std::vector<domain::member>& members) const
{
    std::vector<v1::MemberStatus> rows(members.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&]
    {
        for (std::size_t i = next++; i < members.size(); i = next++)
        {
            rows[i] = query_router(members[i]);
        }
    };
    std::vector<std::thread> threads;
    const std::size_t count = std::min(members.size(), max_status_threads);
    while (threads.size() < count)
    {
        threads.emplace_back(work);
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return rows;
}

} // namespace turmeric::controller
