#pragma once

#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/peer.hpp"
#include "services/controller/fleet_monitor.hpp"
#include "services/controller/operator_result.hpp"

#include <chrono>
#include <functional>
#include <operator.pb.h>
#include <string>
#include <vector>

namespace turmeric::controller
{

namespace v1 = turmericfront::v1;

/// What the handler reads the status from.
struct status_request_handler_dependencies
{
    ports::key_value_store& store;
    drivers::configuration_writer& declarations;
    const drivers::configuration_follower& follower;
    fleet_monitor& fleet;
    ports::peer_caller& peers;
    /// Returns the duties that this controller leads.
    std::function<std::vector<std::string>()> led_duties;
};

/// Handles the operators' requests about moves and the state of the fleet.
/// Thread safe.
class status_request_handler
{
public:
    /// Precondition: the dependencies outlive this object; `led_duties` is
    /// thread safe.
    explicit status_request_handler(
        status_request_handler_dependencies dependencies);

    /// Returns all moves that are declared or have a stored state. Errors:
    /// those of the platform. Thread safe; blocks.
    operator_result<v1::ListMovesReply>
    list_moves(const v1::ListMovesRequest& request);

    /// Queries each router for its configuration version. A router that does
    /// not respond is reported as "silent". Thread safe; blocks.
    operator_result<v1::GetStatusReply>
    get_status(const v1::GetStatusRequest& request);

private:
    [[nodiscard]] v1::MemberStatus
    query_router(const domain::member& identity) const;
    [[nodiscard]] std::vector<v1::MemberStatus>
    query_routers(const std::vector<domain::member>& members) const;

    status_request_handler_dependencies m_dependencies;
};

} // namespace turmeric::controller
