#include "tests/move_driver/simulated_fleet.hpp"

using namespace turmeric;

simulated_fleet::simulated_fleet()
{
    domain::route_declaration route;
    route.name = "narration";
    route.versions = {{"a", domain::full_share}};
    declared.routes = {route};
    for (const char* name : {"e0", "e1"})
    {
        domain::upstream_declaration engine;
        engine.name = name;
        engine.address = std::string(name) + ":1";
        engine.versions = {"a", "b"};
        declared.upstreams.push_back(engine);
    }
    domain::move_declaration move;
    move.route = "narration";
    move.from_version = "a";
    move.to_version = "b";
    move.start = clock.system_now() + std::chrono::seconds(30);
    move.deadline = move.start + std::chrono::seconds(600);
    declared.moves = {move};
    for (const std::string& address : addresses)
    {
        guards.emplace_back(domain::guard_settings{}, address, clock, log);
        guards.back().apply_routes(declared.routes);
        peers.guards[address] = &guards.back();
    }
}

drivers::move_driver& simulated_fleet::add_controller(std::int64_t fencing)
{
    std::optional<std::int64_t>& fencing_while_leading =
        fencings.emplace_back(fencing);
    drivers::move_driver_settings settings;
    // The fakes are not thread safe.
    settings.max_parallel_calls = 1;
    return controllers.emplace_back(
        settings,
        drivers::move_sources{
            [&fencing_while_leading] { return fencing_while_leading; },
            [this] { return addresses; }, [this] { return declared; }},
        store, peers, orders, clock, log,
        [](const std::function<void()>& task) { task(); });
}

void simulated_fleet::run(int rounds)
{
    for (int round = 0; round < rounds; ++round)
    {
        for (int number = 0; number < requests_per_round; ++number)
        {
            serve_request_per_router();
        }
        deliver_stored_state();
        for (drivers::move_driver& controller : controllers)
        {
            controller.step();
        }
        clock.advance(std::chrono::milliseconds(500));
    }
}

void simulated_fleet::serve_request_per_router()
{
    for (drivers::version_guard& guard : guards)
    {
        const std::string version =
            guard.pick("narration", std::to_string(next_request_id++));
        new_version_requests += version == "b" ? 1 : 0;
        const bool fails =
            failing_versions.contains(version) &&
            (failing_router == nullptr || failing_router == &guard);
        domain::request_observation observation{fails, std::nullopt,
                                                std::nullopt};
        if (!fails)
        {
            observation.first_token = std::chrono::milliseconds(200);
            observation.worst_gap = std::chrono::milliseconds(20);
        }
        guard.record("narration", version, observation);
    }
}

void simulated_fleet::deliver_stored_state()
{
    const result<std::optional<ports::key_value>> read =
        store.get(codecs::move_key_of("narration"));
    if (!read || !read.value())
    {
        return;
    }
    const result<domain::move_state> state =
        codecs::decode_move_state(read.value()->value);
    for (drivers::version_guard& guard : guards)
    {
        guard.apply_move_state(state.value());
    }
}

domain::move_state simulated_fleet::stored_state()
{
    store.set_outage(false);
    return codecs::decode_move_state(
               store.get(codecs::move_key_of("narration")).value()->value)
        .value();
}
