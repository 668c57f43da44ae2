#include "services/router/fleet_coordinator.hpp"

#include "libraries/core/json.hpp"
#include "libraries/domain/membership/locate.hpp"
#include "services/router/shard_committer_selection.hpp"

#include <algorithm>

namespace turmeric::router
{

namespace
{

bool is_serving(const domain::upstream_declaration& upstream)
{
    return upstream.state == domain::upstream_state::serving;
}

} // namespace

fleet_coordinator::fleet_coordinator(
    const fleet_coordinator_dependencies& dependencies, router_identity self)
    : m_dependencies(dependencies)
    , m_self(std::move(self))
    , m_shares(m_self.incarnation)
{
}

void fleet_coordinator::refresh()
{
    std::shared_ptr<const domain::configuration> declared =
        m_dependencies.follower.current();
    std::shared_ptr<const drivers::published_membership> fleet =
        m_dependencies.membership.snapshot();
    plan_capacity(*fleet, *declared);
    mark_leaving_upstreams(*fleet, *declared);
    leave_if_vm_is_leaving(*fleet, *declared);
    m_dependencies.membership.set_acknowledged(
        m_dependencies.traffic.acknowledge());
    std::int64_t share = m_dependencies.traffic.counts().total_share;
    m_dependencies.membership.set_share(share);
    m_dependencies.membership.set_load(
        static_cast<std::int64_t>(m_dependencies.responses.in_flight()));
    // Shares may be zero for a moment while epochs change. The router stays
    // ready meanwhile, and requests wait in the queue.
    m_has_share = share > 0;
    m_has_had_share = m_has_had_share || share > 0;
    m_dependencies.membership.set_configuration(declared->version, "");
}

void fleet_coordinator::plan_capacity(
    const drivers::published_membership& fleet,
    const domain::configuration& declared)
{
    m_shares.update(fleet.view.record, fleet.view.acknowledged);
    std::vector<domain::upstream_declaration> serving;
    std::copy_if(declared.upstreams.begin(), declared.upstreams.end(),
                 std::back_inserter(serving), &is_serving);
    m_dependencies.traffic.update_capacity(m_shares.plan(serving));
}

void fleet_coordinator::mark_leaving_upstreams(
    const drivers::published_membership& fleet,
    const domain::configuration& declared)
{
    for (const ports::vm_entry& vm : fleet.vms)
    {
        if (vm.state != ports::vm_state::leaving)
        {
            continue;
        }
        for (const domain::upstream_declaration& upstream : declared.upstreams)
        {
            if (upstream.address == vm.address &&
                m_leaving_upstreams.insert(upstream.name).second)
            {
                m_dependencies.traffic.mark_leaving(upstream.name);
            }
        }
    }
}

void fleet_coordinator::leave_if_vm_is_leaving(
    const drivers::published_membership& fleet,
    const domain::configuration& declared)
{
    bool is_declared_leaving =
        std::any_of(declared.vms.begin(), declared.vms.end(),
                    [this](const domain::vm_declaration& vm)
                    {
                        return vm.name == m_self.vm &&
                               vm.state == domain::upstream_state::leaving;
                    });
    bool is_listed_leaving = std::any_of(
        fleet.vms.begin(), fleet.vms.end(),
        [this](const ports::vm_entry& vm)
        { return vm.vm == m_self.vm && vm.state == ports::vm_state::leaving; });
    if ((is_declared_leaving || is_listed_leaving) && !m_is_leaving)
    {
        start_leaving();
    }
}

std::vector<std::string> fleet_coordinator::bill_copy_peers() const
{
    std::vector<std::string> peers;
    std::vector<std::string> same_data_centre_peers;
    std::shared_ptr<const drivers::published_membership> fleet =
        m_dependencies.membership.snapshot();
    for (const domain::member_status& peer : fleet->view.members)
    {
        const domain::member& identity = peer.row.identity;
        if (peer.is_eligible && identity.incarnation != m_self.incarnation)
        {
            bool is_same_data_centre =
                identity.data_centre == m_self.data_centre;
            (is_same_data_centre ? same_data_centre_peers : peers)
                .push_back(identity.peer_address);
        }
    }
    peers.insert(peers.end(), same_data_centre_peers.begin(),
                 same_data_centre_peers.end());
    return peers;
}

bool fleet_coordinator::is_alive(const std::string& incarnation) const
{
    std::shared_ptr<const drivers::published_membership> fleet =
        m_dependencies.membership.snapshot();
    return std::any_of(
        fleet->view.members.begin(), fleet->view.members.end(),
        [&incarnation](const domain::member_status& peer)
        {
            bool is_up = peer.is_eligible ||
                         peer.row.state == domain::member_state::leaving;
            return is_up && peer.row.identity.incarnation == incarnation;
        });
}

std::string fleet_coordinator::find_committer(std::int32_t shard) const
{
    return select_shard_committer(m_dependencies.membership.snapshot()->view,
                                  shard);
}

void fleet_coordinator::start_leaving()
{
    m_is_leaving = true;
    m_dependencies.membership.set_state(domain::member_state::leaving);
}

std::optional<error> fleet_coordinator::find_readiness_error() const
{
    if (m_is_leaving && !m_has_share)
    {
        return error{result_code::router_stopping, "router",
                     "the router is leaving and has released its slots",
                     outcome::not_run, std::chrono::seconds(1)};
    }
    if (m_has_had_share)
    {
        return std::nullopt;
    }
    return error{result_code::router_not_ready, "upstreams",
                 "the router has no slots of any upstream yet",
                 outcome::not_run, std::chrono::seconds(1)};
}

std::string fleet_coordinator::locate(const std::string& account)
{
    domain::locate_request request;
    request.account = account;
    domain::locate_response located =
        domain::locate(m_dependencies.membership.snapshot()->view, request,
                       domain::locate_limits());
    json routers = json::array();
    for (const domain::located_router& router : located.routers)
    {
        routers.push_back({{"address", router.address},
                           {"data_centre", router.data_centre},
                           {"weight", router.weight}});
    }
    json response = {{"routers", routers},
                     {"time_to_live_ms", located.time_to_live.count()}};
    return response.dump();
}

std::vector<std::string> fleet_coordinator::peer_addresses()
{
    std::vector<std::string> addresses;
    std::shared_ptr<const drivers::published_membership> fleet =
        m_dependencies.membership.snapshot();
    for (const domain::member_status& peer : fleet->view.members)
    {
        if (peer.is_eligible &&
            peer.row.identity.incarnation != m_self.incarnation)
        {
            addresses.push_back(peer.row.identity.peer_address);
        }
    }
    if (!addresses.empty())
    {
        return addresses;
    }
    // A router that starts while the key-value service is unavailable finds
    // peers only through its settings and the VM list.
    addresses = m_self.seed_peers;
    for (const ports::vm_entry& row : fleet->vms)
    {
        if (row.state == ports::vm_state::live)
        {
            addresses.push_back(row.address);
        }
    }
    return addresses;
}

} // namespace turmeric::router
