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

/// Where the calls about status look.
struct status_dependencies
{
    ports::key_value_store& store;
    drivers::configuration_writer& declarations;
    const drivers::configuration_follower& follower;
    fleet_monitor& fleet;
    ports::peer_caller& peers;
    /// Returns the duties that this controller leads.
    std::function<std::vector<std::string>()> led_duties;
};

/// The operators' calls about what is in force. Thread safe.
class status_request_handler
{
public:
    /// Precondition: the sources outlive this object; `duties` is thread
    /// safe.
    explicit status_request_handler(status_dependencies dependencies);

    /// Returns declared and stored moves. Errors: those of the platform.
    /// Thread safe; blocks.
    operator_result<v1::ListMovesReply>
    list_moves(const v1::ListMovesRequest& request);

    /// Asks each router for the version in force there. Routers that do not
    /// answer are "silent". Thread safe; blocks.
    operator_result<v1::GetStatusReply>
    get_status(const v1::GetStatusRequest& request);

private:
    [[nodiscard]] v1::MemberStatus
    query_router(const domain::member& identity) const;
    [[nodiscard]] std::vector<v1::MemberStatus>
    query_routers(const std::vector<domain::member>& members) const;

    status_dependencies m_dependencies;
};

} // namespace turmeric::controller
