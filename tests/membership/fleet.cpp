#include "tests/membership/fleet.hpp"

#include <algorithm>

namespace turmeric::tests
{

namespace
{

constexpr std::chrono::seconds lease_ttl{3};

std::string name_of(std::size_t index)
{
    std::string digits = std::to_string(index);
    return "router" +
           std::string(4 - std::min<std::size_t>(4, digits.size()), '0') +
           digits;
}

} // namespace

fleet::router::router(const domain::member& member,
                      const domain::membership_limits& limits,
                      ports::steady_time now)
    : self(member)
    , view(member, limits, now)
    , table(member.incarnation)
    , selector(domain::selector_limits{})
{
}

fleet::fleet(const domain::membership_limits& limits, std::int32_t capacity)
    : m_limits(limits)
{
    m_upstream.name = "upstream";
    m_upstream.versions = {"v1"};
    m_upstream.capacity = capacity;
}

std::size_t fleet::start(std::optional<std::string> vm)
{
    std::size_t index = routers.size();
    domain::member self;
    self.incarnation = name_of(index);
    self.address = self.incarnation + ":80";
    self.peer_address = self.incarnation + ":81";
    self.vm = vm.value_or("vm" + self.incarnation);
    m_removed_vms.erase(self.vm);
    // A VM runs one router at a time.
    kill_all_on_vm(self.vm);
    self.started = ports::system_time(now.time_since_epoch());
    routers.push_back(std::make_unique<router>(self, m_limits, now));
    return index;
}

void fleet::kill_all_on_vm(const std::string& vm)
{
    for (std::size_t index = 0; index < routers.size(); ++index)
    {
        if (routers[index]->self.vm == vm)
        {
            kill(index);
        }
    }
}

bool fleet::has_successor(std::size_t index) const
{
    return std::any_of(routers.begin(), routers.end(),
                       [this, index](const auto& each) {
                           return !each->died_at &&
                                  each->self.vm == routers[index]->self.vm;
                       });
}

bool fleet::is_running(std::size_t index) const
{
    return !routers[index]->died_at && !routers[index]->is_frozen;
}

void fleet::kill(std::size_t index)
{
    routers[index]->died_at = routers[index]->died_at.value_or(now);
}

void fleet::remove_vm(std::size_t index)
{
    kill_all_on_vm(routers[index]->self.vm);
    m_removed_vms.insert(routers[index]->self.vm);
}

void fleet::leave(std::size_t index)
{
    routers[index]->view.set_state(domain::member_state::leaving);
    routers[index]->left_at = routers[index]->left_at.value_or(now);
}

void fleet::dispatch(std::size_t index, std::uint64_t prefix)
{
    domain::choice_request request{"route", "v1", prefix, "", {}};
    result<domain::upstream_choice> chosen =
        routers[index]->selector.choose(request, now);
    if (chosen)
    {
        routers[index]->held_choices.push_back(chosen.value());
    }
}

void fleet::finish(std::size_t index)
{
    router& subject = *routers[index];
    if (!subject.held_choices.empty())
    {
        subject.selector.finish(subject.held_choices.back(),
                                domain::call_result::succeeded, now);
        subject.held_choices.pop_back();
    }
}

bool fleet::are_connected(const router& left, const router& right) const
{
    return left.partition == right.partition;
}

void fleet::exchange(router& from, router& to)
{
    domain::heartbeat message =
        from.view.make_heartbeat(to.self.incarnation, now);
    ++message_count;
    if (to.died_at || to.is_frozen || !are_connected(from, to))
    {
        return;
    }
    to.view.receive(message, now);
    from.view.receive(to.view.make_heartbeat(from.self.incarnation, now), now);
}

void fleet::call_platform(router& subject)
{
    if (!is_platform_up || !subject.can_reach_platform)
    {
        return;
    }
    m_leases[subject.self.incarnation] = now + lease_ttl;
    std::vector<domain::member> registered;
    std::vector<ports::vm_entry> vms;
    for (const std::unique_ptr<router>& each : routers)
    {
        auto lease = m_leases.find(each->self.incarnation);
        if (lease != m_leases.end() && lease->second > now)
        {
            registered.push_back(each->self);
        }
        if (!m_removed_vms.contains(each->self.vm))
        {
            vms.push_back(
                {each->self.address, each->self.vm, "", ports::vm_state::live});
        }
    }
    subject.view.update_leases(registered, now);
    subject.view.update_vms(vms, now);
    std::optional<domain::epoch_record> next = subject.view.propose(now);
    if (!next)
    {
        return;
    }
    if (next->revision == stored_record.revision + 1)
    {
        stored_record = *next;
    }
    subject.view.update_record(stored_record);
}

void fleet::apply(router& subject)
{
    domain::membership_snapshot snapshot = subject.view.snapshot(now);
    if (subject.table.update(snapshot.record, snapshot.acknowledged))
    {
        subject.selector.update(subject.table.plan({m_upstream}));
    }
    subject.view.set_share(subject.selector.total_share());
    subject.view.set_acknowledged(subject.selector.acknowledge());
}

void fleet::run_round()
{
    now += round;
    for (std::size_t index = 0; index < routers.size(); ++index)
    {
        router& subject = *routers[index];
        if (subject.died_at &&
            now - *subject.died_at >= m_limits.max_request_duration)
        {
            subject.held_choices.clear();
        }
        if (!is_running(index))
        {
            continue;
        }
        subject.view.advance(now);
        for (const domain::member& peer : subject.view.peers())
        {
            auto found = std::find_if(
                routers.begin(), routers.end(),
                [&peer](const auto& each)
                { return each->self.incarnation == peer.incarnation; });
            exchange(subject, **found);
        }
        call_platform(subject);
        apply(subject);
    }
}

std::int64_t fleet::total_held() const
{
    std::int64_t sum = 0;
    for (const std::unique_ptr<router>& each : routers)
    {
        sum += static_cast<std::int64_t>(each->held_choices.size());
    }
    return sum;
}

bool fleet::locates(std::size_t observer, std::size_t target) const
{
    domain::locate_limits all_routers;
    all_routers.min_routers = routers.size();
    domain::locate_response response = domain::locate(
        routers[observer]->view.snapshot(now), {"account", 1.0}, all_routers);
    return std::any_of(response.routers.begin(), response.routers.end(),
                       [this, target](const domain::located_router& each) {
                           return each.address == routers[target]->self.address;
                       });
}

} // namespace turmeric::tests
