#include "libraries/codecs/membership/membership_json.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"
#include "services/controller/fleet_monitor.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

class fake_vm_list final : public ports::vm_list
{
public:
    result<std::vector<ports::vm_entry>> read() override
    {
        if (is_unavailable)
        {
            return error{result_code::platform_unavailable, "", "unavailable"};
        }
        return entries;
    }

    std::vector<ports::vm_entry> entries;
    bool is_unavailable = false;
};

struct fixture
{
    /// Registers an incarnation whose start time is `second` seconds.
    ports::revision add_member(const std::string& name, const std::string& vm,
                               int second)
    {
        domain::member identity;
        identity.incarnation = name;
        identity.address = name + ":1";
        identity.peer_address = name + ":2";
        identity.vm = vm;
        identity.data_centre = "north";
        identity.started += std::chrono::seconds(second);
        return store
            .compare_and_swap(
                "/turmericfront/members/" + name,
                codecs::write_member(identity, domain::member_state::live), 0,
                0)
            .value();
    }

    void remove_member(const std::string& name,
                       ports::revision modification_revision)
    {
        CHECK(store
                  .compare_and_delete("/turmericfront/members/" + name,
                                      modification_revision)
                  .has_value());
    }

    fakes::manual_clock clock;
    fakes::fake_key_value_store store{clock};
    fake_vm_list vms;
    controller::fleet_monitor fleet{store, vms, clock, {}};
};

} // namespace

TEST_GROUP(fleet_monitor){};

TEST(fleet_monitor,
     a_member_without_lease_is_retained_and_its_successor_detected)
{
    fixture f;
    const ports::revision first = f.add_member("first", "vm-1", 1);
    CHECK(f.fleet.refresh().has_value());
    CHECK_TRUE(f.fleet.evidence_of("first").has_lease);
    CHECK_FALSE(f.fleet.evidence_of("first").has_successor);
    f.remove_member("first", first);
    (void)f.add_member("other", "vm-2", 2);
    CHECK(f.fleet.refresh().has_value());
    CHECK_FALSE(f.fleet.evidence_of("first").has_lease);
    CHECK_FALSE(f.fleet.evidence_of("first").has_successor);
    (void)f.add_member("second", "vm-1", 3);
    CHECK(f.fleet.refresh().has_value());
    CHECK_TRUE(f.fleet.evidence_of("first").has_successor);
    CHECK_FALSE(f.fleet.evidence_of("second").has_successor);
    LONGS_EQUAL(2, f.fleet.members().size());
}

TEST(fleet_monitor, there_is_no_evidence_on_an_incarnation_never_observed)
{
    fixture f;
    f.vms.entries = {{"a:1", "vm-1", "north", ports::vm_state::live}};
    CHECK(f.fleet.refresh().has_value());
    const domain::incarnation_evidence evidence = f.fleet.evidence_of("unseen");
    CHECK_FALSE(evidence.has_lease);
    CHECK_FALSE(evidence.has_vm_left);
    CHECK_FALSE(evidence.has_successor);
}

TEST(fleet_monitor, a_vm_has_left_only_after_it_is_missing_from_a_recent_list)
{
    fixture f;
    (void)f.add_member("first", "vm-1", 1);
    CHECK(f.fleet.refresh().has_value());
    f.clock.advance(std::chrono::minutes(5));
    CHECK(f.fleet.refresh().has_value());
    CHECK_FALSE(f.fleet.evidence_of("first").has_vm_left);
    f.vms.entries = {{"a:1", "vm-1", "north", ports::vm_state::live}};
    CHECK(f.fleet.refresh().has_value());
    f.vms.entries.clear();
    f.vms.is_unavailable = true;
    f.clock.advance(std::chrono::minutes(5));
    CHECK(f.fleet.refresh().has_value());
    CHECK_FALSE(f.fleet.evidence_of("first").has_vm_left);
    f.vms.is_unavailable = false;
    CHECK(f.fleet.refresh().has_value());
    CHECK_TRUE(f.fleet.evidence_of("first").has_vm_left);
}

TEST(fleet_monitor, a_failed_read_of_the_members_is_an_error)
{
    fixture f;
    f.store.set_outage(true);
    CHECK_FALSE(f.fleet.refresh().has_value());
}
