#include "exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using namespace turmeric::tests;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t megabit_bytes = 125'000;

} // namespace

TEST_GROUP(overloaded_router_group)
{
    exchange_fixture fixture;
    drivers::traffic_settings settings = []
    {
        drivers::traffic_settings small{"east", {1.0, 100}};
        small.link_mbps = 1;
        return small;
    }();
    drivers::traffic_dispatcher dispatcher{
        {fixture.clock, fixture.timers, fixture.transport, fixture.random,
         fixture.dialect, fixture.log, fixture.metrics, fixture.digest,
         &fixture.memory},
        settings};
    std::vector<bool> overloads;
    std::vector<std::shared_ptr<ports::exchange_in_flight>> in_flight;

    void setup() override
    {
        dispatcher.set_overload_handler(
            [this](bool is_overloaded) { overloads.push_back(is_overloaded); });
    }

    /// Fills the link for one second and then decides anew.
    void fill_link()
    {
        constexpr milliseconds interval{100};
        for (milliseconds time{0}; time < milliseconds(1'000); time += interval)
        {
            dispatcher.link_meter().record_received(megabit_bytes / 10,
                                                    fixture.clock.steady_now());
            fixture.clock.advance(interval);
        }
        static_cast<void>(dispatcher.digest());
    }
};

/// Guards against requests that wait in a full link until their callers leave.
TEST(overloaded_router_group, most_requests_at_a_full_link_are_refused_at_once)
{
    fill_link();
    CHECK(dispatcher.digest().is_overloaded);
    dispatcher.set_routes(std::make_shared<const domain::route_table>(
        exchange_fixture::declarations()));
    domain::upstream_entry upstream;
    upstream.id = "u1";
    upstream.service = "s";
    upstream.address = "10.0.0.1:80";
    upstream.slots = 400;
    dispatcher.set_upstreams({upstream});
    constexpr std::size_t requests = 200;
    std::size_t refused = 0;
    for (std::size_t number = 0; number < requests; ++number)
    {
        ports::received_request request;
        request.head = {"POST",
                        "/pay/x",
                        {{"Host", "shop.example"},
                         {"X-Request-Id", std::to_string(number)},
                         {"Authorization", "Bearer key"}}};
        request.arrived_at = fixture.clock.steady_now();
        const auto response = std::make_shared<recorded_response>();
        in_flight.push_back(dispatcher.accept(std::move(request), response));
        refused += response->status == 503 ? 1 : 0;
        CHECK(response->status != 503 || response->has("Retry-After"));
    }
    CHECK(refused > requests / 2);
    CHECK(refused < requests);
    CHECK(fixture.call_count() <= requests - refused);
}

TEST(overloaded_router_group, the_beginning_and_the_end_are_told)
{
    fill_link();
    fixture.clock.advance(milliseconds(1'000));
    CHECK(dispatcher.digest().is_overloaded);
    fixture.clock.advance(milliseconds(2'000));
    CHECK_FALSE(dispatcher.digest().is_overloaded);
    CHECK(overloads == std::vector<bool>({true, false}));
}
