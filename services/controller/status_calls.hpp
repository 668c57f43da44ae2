#pragma once

#include "libraries/drivers/configuration/configuration_follower.hpp"
#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "libraries/ports/key_value_store.hpp"
#include "libraries/ports/peer.hpp"
#include "services/controller/fleet_watch.hpp"
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
struct status_sources
{
    ports::key_value_store& store;
    drivers::configuration_writer& declarations;
    const drivers::configuration_follower& follower;
    fleet_watch& fleet;
    ports::peer_caller& peers;
    /// Returns the duties that this controller leads.
    std::function<std::vector<std::string>()> duties;
};

/// The operators' calls about what is in force. Thread safe.
class status_calls
{
public:
    /// Precondition: the sources outlive this object; `duties` is thread
    /// safe.
    explicit status_calls(status_sources sources);

    /// Returns declared and stored moves. Errors: those of the platform.
    /// Thread safe; blocks.
    operator_result<v1::ListMovesReply>
    list_moves(const v1::ListMovesRequest& request);

    /// Asks each router for the version in force there. Routers that do not
    /// answer are "silent". Thread safe; blocks.
    operator_result<v1::GetStatusReply>
    get_status(const v1::GetStatusRequest& request);

private:
    [[nodiscard]] v1::MemberStatus ask(const domain::member& who) const;
    [[nodiscard]] std::vector<v1::MemberStatus>
    ask_all(const std::vector<domain::member>& members) const;

    status_sources m_sources;
};

} // namespace turmeric::controller
