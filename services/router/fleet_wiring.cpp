#include "services/router/fleet_wiring.hpp"

#include "libraries/core/json.hpp"
#include "libraries/domain/membership/locate.hpp"
#include "services/router/shard_committers.hpp"

#include <algorithm>

namespace turmeric::router
{

namespace
{

bool serves(const domain::upstream_declaration& upstream)
{
    return upstream.state == domain::upstream_state::serving;
}

} // namespace

fleet_wiring::fleet_wiring(const fleet_parts& parts, fleet_identity self)
    : m_parts(parts)
    , m_self(std::move(self))
    , m_shares(m_self.incarnation)
{
}

void fleet_wiring::refresh()
{
    std::shared_ptr<const domain::configuration> declared =
        m_parts.follower.current();
    std::shared_ptr<const drivers::published_membership> fleet =
        m_parts.membership.snapshot();
    plan_capacity(*fleet, *declared);
    mark_leaving_upstreams(*fleet, *declared);
    leave_with_vm(*fleet, *declared);
    m_parts.membership.set_acknowledged(m_parts.traffic.acknowledge());
    std::int64_t share = m_parts.traffic.counts().total_share;
    m_parts.membership.set_share(share);
    m_parts.membership.set_load(
        static_cast<std::int64_t>(m_parts.answers.in_flight()));
    // Shares may be missing for a moment while epochs change; requests wait
    // for that in the queue.
    m_has_share = share > 0;
    m_has_capacity = m_has_capacity || share > 0;
    m_parts.membership.set_configuration(declared->version, "");
}

void fleet_wiring::plan_capacity(const drivers::published_membership& fleet,
                                 const domain::configuration& declared)
{
    m_shares.update(fleet.view.record, fleet.view.acknowledged);
    std::vector<domain::upstream_declaration> serving;
    std::copy_if(declared.upstreams.begin(), declared.upstreams.end(),
                 std::back_inserter(serving), &serves);
    m_parts.traffic.update_capacity(m_shares.plan(serving));
}

void fleet_wiring::mark_leaving_upstreams(
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
                m_leaving.insert(upstream.name).second)
            {
                m_parts.traffic.mark_leaving(upstream.name);
            }
        }
    }
}

void fleet_wiring::leave_with_vm(const drivers::published_membership& fleet,
                                 const domain::configuration& declared)
{
    bool is_declared =
        std::any_of(declared.vms.begin(), declared.vms.end(),
                    [this](const domain::vm_declaration& vm)
                    {
                        return vm.name == m_self.vm &&
                               vm.state == domain::upstream_state::leaving;
                    });
    bool is_listed = std::any_of(
        fleet.vms.begin(), fleet.vms.end(),
        [this](const ports::vm_entry& vm)
        { return vm.vm == m_self.vm && vm.state == ports::vm_state::leaving; });
    if ((is_declared || is_listed) && !m_is_leaving)
    {
        start_leaving();
    }
}

std::vector<std::string> fleet_wiring::copy_holders() const
{
    std::vector<std::string> holders;
    std::vector<std::string> near;
    std::shared_ptr<const drivers::published_membership> fleet =
        m_parts.membership.snapshot();
    for (const domain::member_status& peer : fleet->view.members)
    {
        const domain::member& identity = peer.row.identity;
        if (peer.is_eligible && identity.incarnation != m_self.incarnation)
        {
            bool is_near = identity.data_centre == m_self.data_centre;
            (is_near ? near : holders).push_back(identity.peer_address);
        }
    }
    holders.insert(holders.end(), near.begin(), near.end());
    return holders;
}

bool fleet_wiring::is_alive(const std::string& incarnation) const
{
    std::shared_ptr<const drivers::published_membership> fleet =
        m_parts.membership.snapshot();
    return std::any_of(
        fleet->view.members.begin(), fleet->view.members.end(),
        [&incarnation](const domain::member_status& peer)
        {
            bool is_heard = peer.is_eligible ||
                            peer.row.state == domain::member_state::leaving;
            return is_heard && peer.row.identity.incarnation == incarnation;
        });
}

std::string fleet_wiring::find_committer(std::int32_t shard) const
{
    return committer_of_shard(m_parts.membership.snapshot()->view, shard);
}

void fleet_wiring::start_leaving()
{
    m_is_leaving = true;
    m_parts.membership.set_state(domain::member_state::leaving);
}

std::optional<error> fleet_wiring::find_fault() const
{
    if (m_is_leaving && !m_has_share)
    {
        return error{result_code::router_stopping, "router",
                     "the router is leaving and has given up its slots",
                     outcome::not_run, std::chrono::seconds(1)};
    }
    if (m_has_capacity)
    {
        return std::nullopt;
    }
    return error{result_code::router_not_ready, "upstreams",
                 "the router has no share of any upstream yet",
                 outcome::not_run, std::chrono::seconds(1)};
}

std::string fleet_wiring::locate(const std::string& account)
{
    domain::locate_request asked;
    asked.account = account;
    domain::locate_response found = domain::locate(
        m_parts.membership.snapshot()->view, asked, domain::locate_limits());
    json routers = json::array();
    for (const domain::located_router& router : found.routers)
    {
        routers.push_back({{"address", router.address},
                           {"data_centre", router.data_centre},
                           {"weight", router.weight}});
    }
    json answer = {{"routers", routers},
                   {"time_to_live_ms", found.time_to_live.count()}};
    return answer.dump();
}

std::vector<std::string> fleet_wiring::peer_addresses()
{
    std::vector<std::string> addresses;
    std::shared_ptr<const drivers::published_membership> fleet =
        m_parts.membership.snapshot();
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
    // A router that starts while the key-value service is out has only its
    // settings and the VM list to find peers by.
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
