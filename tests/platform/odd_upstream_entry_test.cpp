#include "libraries/drivers/fleet/fleet_control.hpp"
#include "libraries/fakes/counting_logger.hpp"
#include "platform/documents.hpp"
#include "platform/wire_names.hpp"
#include "tests/fleet/fake_asynchronous_store.hpp"
#include "tests/fleet/manual_timer_queue.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t max_value_bytes = 1 << 20;

std::string repeat(const std::string& text, std::size_t count)
{
    std::string repeated;
    repeated.reserve(text.size() * count);
    for (std::size_t number = 0; number < count; ++number)
    {
        repeated += text;
    }
    return repeated;
}

/// Returns the record of an upstream in which one field has another value,
/// given as JSON.
std::string make_record(const std::string& field = "",
                        const std::string& value = "")
{
    std::vector<std::pair<std::string, std::string>> fields = {
        {"Service", R"("m")"}, {"Address", R"("10.0.0.1:80")"},
        {"Zone", R"("z")"},    {"Version", R"("v1")"},
        {"Slots", "4"},        {"State", R"("ready")"},
        {"SeqNo", "1"},        {"born", "17"},
        {"ColdLeftMs", "0"}};
    std::string record;
    for (const auto& [name, usual] : fields)
    {
        record += (record.empty() ? "{\"" : ",\"") + name +
                  "\":" + (name == field ? value : usual);
    }
    return record + "}";
}

/// Values of a field that no upstream can have.
struct odd_values
{
    const char* field;
    std::vector<std::string> values;
};

std::vector<odd_values> list_odd_values()
{
    const std::string thirty_digits(30, '9');
    std::vector<std::string> addresses;
    for (const std::string& address : {std::string("10.0.0.1"),
                                       std::string("10.0.0.1:"),
                                       std::string("10.0.0.1:0"),
                                       std::string("10.0.0.1:-1"),
                                       std::string("10.0.0.1:65536"),
                                       std::string("10.0.0.1:99999"),
                                       std::string("10.0.0.1:1e999"),
                                       "10.0.0.1:" + thirty_digits,
                                       std::string("10.0.0.1:80 "),
                                       std::string(" 10.0.0.1:80"),
                                       std::string("10.0.0.1:8x"),
                                       std::string(":80"),
                                       std::string(),
                                       std::string("10.0.0:80"),
                                       std::string("10.0.0.256:80"),
                                       std::string("10.0.0.1.2:80"),
                                       std::string("[::1]:80"),
                                       std::string("::1:80"),
                                       std::string("name.example:80"),
                                       std::string("0.0.0.0:80"),
                                       std::string("255.255.255.255:80"),
                                       std::string("224.0.0.1:80"),
                                       std::string("10.0.0.1\\u0000:80"),
                                       std::string("10.0.0.1:80\\r\\n"),
                                       repeat("10.", 70'000) + "1:80"})
    {
        addresses.push_back("\"" + address + "\"");
    }
    addresses.insert(addresses.end(), {"1", "null", "[]", "{}"});
    const std::string long_name = "\"" + std::string(200 << 10, 'm') + "\"";
    return {{"Address", addresses},
            {"Slots",
             {"0", "-1", "-2147483649", "2147483647", "4294967297", "1e300",
              "\"4\"", "null", thirty_digits}},
            {"born", {"1e300", "\"now\"", "[]", thirty_digits}},
            {"Service", {long_name, "null", "1", "[[\"m\"]]"}},
            {"Zone", {long_name, "7"}},
            {"Version", {long_name, "{}"}},
            {"State", {long_name, "\"odd\"", "0"}}};
}

std::vector<std::string> list_unreadable_records()
{
    const std::size_t levels = max_value_bytes / 2;
    const std::string nested = repeat("[", levels) + repeat("]", levels);
    const std::string object = R"({"a":)";
    const std::size_t objects = max_value_bytes / (object.size() + 1);
    return {"",
            "bytes",
            "\xff\xfe",
            "[]",
            "{}",
            "null",
            repeat("[", max_value_bytes),
            nested,
            repeat(object, objects),
            repeat(object, objects) + "1" + repeat("}", objects),
            make_record("Address", nested),
            make_record("Slots", "1e999"),
            make_record("Slots", "-1e999"),
            make_record("SeqNo", "1e999"),
            make_record("born", "1e999")};
}

const std::vector<std::string>& odd_ids()
{
    using namespace std::string_literals;
    static const std::vector<std::string> ids = {"",
                                                 "i-1\r\nX-Tenant: other",
                                                 "i-1\n",
                                                 "i 1",
                                                 "i\t1",
                                                 "i-1\0"s,
                                                 "i-1\x7f",
                                                 "\xc3\xa9",
                                                 std::string(300, 'i')};
    return ids;
}

void check_rejects(const std::string& key, const std::string& record,
                   const std::string& field)
{
    const result<domain::upstream_entry> read =
        platform::read_upstream(key, record);
    CHECK_FALSE_TEXT(read.has_value(), record.substr(0, 200).c_str());
    CHECK(read.failure().code == result_code::corrupt_value);
    STRCMP_EQUAL((key + field).c_str(), read.failure().field.c_str());
}

/// Records the upstreams that the traffic thread is given.
class recording_traffic final : public drivers::traffic_link
{
public:
    void set_routes(std::shared_ptr<const domain::route_table>) override {}

    void set_upstreams(std::vector<domain::upstream_entry> entries) override
    {
        upstreams.clear();
        for (const domain::upstream_entry& entry : entries)
        {
            upstreams += entry.id + "@" + entry.address + " ";
        }
    }

    void set_fleet(drivers::fleet_view) override {}

    void merge_observations(domain::upstream_observations) override {}

    void
    request_digest(std::function<void(drivers::traffic_digest)> done) override
    {
        done({});
    }

    void release(const std::string&, std::int64_t,
                 std::function<void(std::int64_t)> done) override
    {
        done(0);
    }

    void pass_on(const std::string&, std::int64_t,
                 std::function<void(std::int64_t)> done) override
    {
        done(0);
    }

    void lend(const std::string&, std::int64_t,
              std::function<void(std::int64_t)> done) override
    {
        done(0);
    }

    void refuse_pending_holds(const std::string&) override {}

    std::string upstreams;
};

class silent_datagram_link final : public ports::datagram_link
{
public:
    void send(const std::string&, const std::string&) override {}

    void receive(std::function<void(std::string_view)>) override {}
};

/// The control plane of a router with a store of its own.
struct following_router
{
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    fake_asynchronous_store store;
    silent_datagram_link peers;
    recording_traffic traffic;
    fakes::counting_logger log;
    std::unique_ptr<drivers::fleet_control> control;

    void start()
    {
        control = std::make_unique<drivers::fleet_control>(
            drivers::fleet_control_dependencies{
                store, timers, clock, peers, traffic, log,
                [](const std::string&,
                   const std::function<void(std::string)>&) {}},
            drivers::document_formats{
                std::string(platform::wire::configuration_key),
                std::string(platform::wire::upstream_prefix),
                &platform::read_configuration, &platform::read_upstream},
            drivers::fleet_member{"router-1", "vm-1", "east", "10.0.0.9:1",
                                  "10.0.0.9:2"});
        control->start();
        store.serve_all();
    }

    void put(const std::string& id, int port)
    {
        store.put("servers/" + id,
                  make_record("Address",
                              "\"10.0.0.1:" + std::to_string(port) + "\""));
    }

    /// Delivers the changes since the last call.
    void deliver()
    {
        store.respond_to_watches();
        timers.advance(300ms);
        store.serve_all();
    }
};

/// Has an odd entry among good ones, before the start and in changes, and
/// checks that the good ones and their changes are followed.
void check_others_are_followed(const std::string& id, const std::string& record)
{
    following_router router;
    router.put("a", 81);
    router.store.put("servers/" + id, record);
    router.put("z", 82);
    router.start();
    STRCMP_EQUAL("a@10.0.0.1:81 z@10.0.0.1:82 ",
                 router.traffic.upstreams.c_str());
    router.put("c", 83);
    router.deliver();
    STRCMP_EQUAL("a@10.0.0.1:81 c@10.0.0.1:83 z@10.0.0.1:82 ",
                 router.traffic.upstreams.c_str());
    router.store.put("servers/" + id, record);
    router.put("a", 84);
    router.store.erase("servers/z");
    router.deliver();
    STRCMP_EQUAL("a@10.0.0.1:84 c@10.0.0.1:83 ",
                 router.traffic.upstreams.c_str());
    router.store.erase("servers/" + id);
    router.put("d", 85);
    router.deliver();
    STRCMP_EQUAL("a@10.0.0.1:84 c@10.0.0.1:83 d@10.0.0.1:85 ",
                 router.traffic.upstreams.c_str());
}

} // namespace

TEST_GROUP(odd_upstream_entry_group){};

TEST(odd_upstream_entry_group, an_odd_field_is_rejected_by_name)
{
    CHECK(platform::read_upstream("servers/i-1", make_record()).has_value());
    for (const odd_values& odd : list_odd_values())
    {
        for (const std::string& value : odd.values)
        {
            check_rejects("servers/i-1", make_record(odd.field, value),
                          std::string(".") + odd.field);
        }
    }
}

TEST(odd_upstream_entry_group, an_unreadable_record_is_rejected)
{
    for (const std::string& record : list_unreadable_records())
    {
        CHECK_FALSE(platform::read_upstream("servers/i-1", record).has_value());
    }
}

TEST(odd_upstream_entry_group, an_id_that_adds_a_header_field_is_rejected)
{
    for (const std::string& id : odd_ids())
    {
        check_rejects("servers/" + id, make_record(), ".id");
    }
}

TEST(odd_upstream_entry_group, unusual_but_valid_records_are_read)
{
    for (const auto& [field, value] :
         {std::pair<std::string, std::string>{"Address", R"("127.0.0.1:1")"},
          {"Address", R"("255.255.255.254:65535")"},
          {"Slots", "1"},
          {"Slots", "65536"},
          {"State", R"("draining")"},
          {"born", "null"},
          {"SeqNo", "999999999999999999999999999999"},
          {"ColdLeftMs", R"([["x"]])"}})
    {
        CHECK_TRUE_TEXT(
            platform::read_upstream("servers/i-1", make_record(field, value))
                .has_value(),
            (field + " " + value).c_str());
    }
}

TEST(odd_upstream_entry_group, an_odd_field_does_not_stop_following_the_others)
{
    for (const odd_values& odd : list_odd_values())
    {
        for (const std::string& value : odd.values)
        {
            check_others_are_followed("odd", make_record(odd.field, value));
        }
    }
}

TEST(odd_upstream_entry_group,
     an_unreadable_record_does_not_stop_following_the_others)
{
    for (const std::string& record : list_unreadable_records())
    {
        check_others_are_followed("odd", record);
    }
}

TEST(odd_upstream_entry_group, an_odd_id_does_not_stop_following_the_others)
{
    for (const std::string& id : odd_ids())
    {
        check_others_are_followed(id, make_record());
    }
}
