#include "libraries/codecs/membership/membership_json.hpp"
#include "libraries/drivers/membership/membership_service.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <algorithm>
#include <map>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace std::chrono_literals;

namespace
{

class null_logger final : public logger
{
public:
    void write(log_level, log_event, const std::vector<log_field>&) override {}
};

/// An in-memory store with leases that can be unavailable or lose replies to
/// writes.
class fake_store final : public ports::key_value_store
{
public:
    explicit fake_store(const ports::clock& clock)
        : m_clock(clock)
    {
    }

    result<std::optional<ports::key_value>> get(const std::string& key) override
    {
        ++reads;
        if (is_down)
        {
            return down();
        }
        erase_expired();
        auto found = m_entries.find(key);
        if (found == m_entries.end())
        {
            return std::optional<ports::key_value>();
        }
        return std::optional<ports::key_value>(found->second.entry);
    }

    result<ports::key_range> list(const std::string& prefix) override
    {
        ++reads;
        if (is_down)
        {
            return down();
        }
        erase_expired();
        ports::key_range range;
        for (const auto& [key, stored] : m_entries)
        {
            if (key.starts_with(prefix))
            {
                range.entries.push_back(stored.entry);
            }
        }
        return range;
    }

    result<ports::revision> compare_and_swap(const std::string& key,
                                             const std::string& value,
                                             ports::revision expected,
                                             ports::lease_id lease) override
    {
        ++writes;
        if (is_down)
        {
            return down();
        }
        erase_expired();
        if (lease != 0 && !m_leases.contains(lease))
        {
            return error{result_code::lease_lost, "lease", ""};
        }
        auto found = m_entries.find(key);
        ports::revision present =
            found == m_entries.end()
                ? 0
                : found->second.entry.modification_revision;
        if (present != expected)
        {
            return error{result_code::platform_conflict, key, ""};
        }
        m_entries[key] = {{key, value, ++m_revision}, lease};
        if (loses_replies)
        {
            return error{result_code::platform_outcome_unknown, key, ""};
        }
        return m_revision;
    }

    status compare_and_delete(const std::string&, ports::revision) override
    {
        return success();
    }

    result<ports::lease_id>
    create_lease(std::chrono::seconds time_to_live) override
    {
        ++writes;
        if (is_down)
        {
            return down();
        }
        m_leases[++m_last_lease] = {time_to_live,
                                    m_clock.steady_now() + time_to_live};
        return m_last_lease;
    }

    status renew_lease(ports::lease_id lease) override
    {
        ++writes;
        if (is_down)
        {
            return down();
        }
        erase_expired();
        auto found = m_leases.find(lease);
        if (found == m_leases.end())
        {
            return error{result_code::lease_lost, "lease", ""};
        }
        found->second.second = m_clock.steady_now() + found->second.first;
        return success();
    }

    status revoke_lease(ports::lease_id lease) override
    {
        m_leases.erase(lease);
        erase_expired();
        return success();
    }

    result<ports::watch_batch> watch(const std::string&, ports::revision,
                                     std::chrono::milliseconds) override
    {
        return ports::watch_batch{};
    }

    bool is_down = false;
    bool loses_replies = false;
    std::size_t reads = 0;
    std::size_t writes = 0;

private:
    struct stored_entry
    {
        ports::key_value entry;
        ports::lease_id lease = 0;
    };

    static error down()
    {
        return error{result_code::platform_unavailable, "", ""};
    }

    void erase_expired()
    {
        std::erase_if(m_leases, [this](const auto& item)
                      { return item.second.second <= m_clock.steady_now(); });
        std::erase_if(m_entries,
                      [this](const auto& item) {
                          return item.second.lease != 0 &&
                                 !m_leases.contains(item.second.lease);
                      });
    }

    const ports::clock& m_clock;
    std::map<std::string, stored_entry> m_entries;
    std::map<ports::lease_id,
             std::pair<std::chrono::seconds, ports::steady_time>>
        m_leases;
    ports::lease_id m_last_lease = 0;
    ports::revision m_revision = 0;
};

class fake_vm_list final : public ports::vm_list
{
public:
    result<std::vector<ports::vm_entry>> read() override
    {
        return rows;
    }

    std::vector<ports::vm_entry> rows;
};

/// Passes each message directly to the service at the address.
class in_process_peer_caller final : public ports::peer_caller
{
public:
    result<std::string> call(const std::string& address,
                             const ports::peer_message& message,
                             std::chrono::milliseconds) override
    {
        auto found = services.find(address);
        if (found == services.end())
        {
            return error{result_code::peer_unavailable, address, ""};
        }
        return found->second->handle(message);
    }

    std::map<std::string, drivers::membership_service*> services;
};

} // namespace

TEST_GROUP(membership_service)
{
    fakes::manual_clock clock;
    null_logger log;
    fake_store store{clock};
    fake_vm_list vms;
    in_process_peer_caller network;
    std::map<std::string, std::unique_ptr<drivers::membership_service>> fleet;

    drivers::membership_service& start(const std::string& name)
    {
        domain::member self{name,        name + ":80", name + ":81",
                            "vm" + name, "north",      clock.system_now()};
        vms.rows.push_back(
            {self.address, self.vm, "north", ports::vm_state::live});
        fleet[name] = std::make_unique<drivers::membership_service>(
            self, drivers::membership_settings{}, store, vms, network, clock,
            log);
        network.services[self.peer_address] = fleet[name].get();
        fleet[name]->set_share(1);
        return *fleet[name];
    }

    void run_for(std::chrono::milliseconds duration)
    {
        constexpr std::chrono::milliseconds step{500};
        for (std::chrono::milliseconds passed{0}; passed < duration;
             passed += step)
        {
            clock.advance(step);
            for (auto& [name, service] : fleet)
            {
                service->run_platform_round();
                service->run_heartbeat_round(0, 1);
            }
        }
    }

    std::size_t eligible_count(const std::string& name)
    {
        std::shared_ptr<const drivers::published_membership> seen =
            fleet[name]->snapshot();
        return static_cast<std::size_t>(
            std::count_if(seen->view.members.begin(), seen->view.members.end(),
                          [](const domain::member_status& each)
                          { return each.is_eligible; }));
    }

    std::size_t registered_count()
    {
        return store.list("/turmericfront/members/").value().entries.size();
    }
};

TEST(membership_service, routers_discover_each_other_and_agree_on_an_epoch)
{
    start("a");
    start("b");
    start("c");
    run_for(5s);
    LONGS_EQUAL(3, registered_count());
    for (const char* name : {"a", "b", "c"})
    {
        LONGS_EQUAL(3, eligible_count(name));
        LONGS_EQUAL(
            3,
            fleet[name]->snapshot()->view.record.epochs.back().routers.size());
    }
}

TEST(membership_service, registers_again_after_its_lease_lapsed)
{
    start("a");
    run_for(1s);
    // The process was paused for longer than its lease.
    clock.advance(60s);
    LONGS_EQUAL(0, registered_count());
    run_for(1s);
    LONGS_EQUAL(1, registered_count());
}

TEST(membership_service, resolves_a_registration_without_a_reply)
{
    start("a");
    store.loses_replies = true;
    run_for(1s);
    store.loses_replies = false;
    run_for(2s);
    LONGS_EQUAL(1, registered_count());
    LONGS_EQUAL(1, fleet["a"]->snapshot()->view.record.newest());
    // After that nothing is written until the lease is due for renewal.
    store.writes = 0;
    run_for(5s);
    LONGS_EQUAL(0, store.writes);
}

TEST(membership_service, heartbeats_alone_keep_members_eligible_in_an_outage)
{
    start("a");
    start("b");
    run_for(5s);
    store.is_down = true;
    run_for(120s);
    LONGS_EQUAL(2, eligible_count("a"));
    LONGS_EQUAL(2, eligible_count("b"));
    // A router that dies during the outage is no longer eligible.
    network.services.erase("b:81");
    fleet.erase("b");
    run_for(5s);
    LONGS_EQUAL(1, eligible_count("a"));
}

TEST(membership_service, a_leaving_router_is_no_longer_eligible)
{
    start("a");
    drivers::membership_service& leaving = start("b");
    run_for(5s);
    leaving.set_state(domain::member_state::leaving);
    run_for(1s);
    LONGS_EQUAL(1, eligible_count("a"));
    LONGS_EQUAL(1, eligible_count("b"));
    leaving.set_state(domain::member_state::live);
    run_for(1s);
    LONGS_EQUAL(1, eligible_count("a"));
}

TEST(membership_service, platform_calls_per_router_are_bounded)
{
    constexpr std::size_t routers = 12;
    for (std::size_t index = 0; index < routers; ++index)
    {
        start("router" + std::to_string(10 + index));
    }
    run_for(8s);
    // One lease and one key for each router, and a few attempts to write the
    // epoch record.
    CHECK(store.writes <= routers * 2 + 6);
    run_for(12s);
    store.reads = 0;
    store.writes = 0;
    run_for(60s);
    // One renewal each 10 s and one read each 5 s for each router.
    CHECK(store.writes <= routers * 6);
    CHECK(store.reads <= routers * 12);
}

TEST(membership_service, rejects_malformed_heartbeats)
{
    drivers::membership_service& subject = start("a");
    CHECK(subject.handle({"heartbeat", "{"}).failure().code ==
          result_code::peer_protocol);
    result<std::string> faulty =
        subject.handle({"heartbeat", R"({"sender": 7, "rows": []})"});
    STRCMP_EQUAL("sender", faulty.failure().field.c_str());
}

TEST(membership_service, heartbeats_and_epoch_records_round_trip_through_json)
{
    domain::heartbeat message;
    message.sender = "a";
    message.index = 7;
    message.received = 3;
    message.record_revision = 4;
    domain::member_row row;
    row.identity = {"a",  "a:80",  "a:81",
                    "vm", "north", ports::system_time(1234ms)};
    row.version = 9;
    row.state = domain::member_state::leaving;
    row.share = 5;
    row.load = 2;
    row.acknowledged = 6;
    row.configuration_version = 8;
    row.configuration_digest = "d";
    row.suspected_by = {"b"};
    message.rows = {row};
    domain::epoch_record record;
    record.epochs = {{3, {"a", "b"}}, {4, {"a"}}};
    record.origins["a"] = {"vm", ports::system_time(1234ms)};
    record.ended = {"b"};
    record.revision = 4;
    message.record = record;
    CHECK(codecs::read_heartbeat(codecs::write_heartbeat(message)).value() ==
          message);
    CHECK(codecs::read_epochs(codecs::write_epochs(record)).value() == record);
    CHECK(codecs::read_member(codecs::write_member(row.identity, row.state))
              .value() == row.identity);
    CHECK(
        codecs::read_epochs(R"({"epochs": [{"number": 1}]})").failure().code ==
        result_code::corrupt_value);
}
