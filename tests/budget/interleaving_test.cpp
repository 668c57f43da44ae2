#include <rapidcheck.h>

#include "tests/budget/budget_world.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using turmeric::tests::budget_world;
using turmeric::tests::world_command;

namespace rc
{

template <>
struct Arbitrary<world_command>
{
    static Gen<world_command> arbitrary()
    {
        return gen::build<world_command>(
            gen::set(&world_command::kind,
                     gen::inRange(0, budget_world::command_kinds)),
            gen::set(&world_command::first, gen::inRange(0, 3)),
            gen::set(&world_command::second, gen::inRange(0, 1000)),
            gen::set(&world_command::amount, gen::inRange(0, 1000)));
    }
};

} // namespace rc

namespace
{

std::string fault_of(const std::vector<world_command>& commands)
{
    budget_world world;
    for (const world_command& command : commands)
    {
        world.run(command);
    }
    world.finish();
    return world.fault();
}

} // namespace

TEST_GROUP(interleaving){};

TEST(interleaving, keeps_every_promise_about_money)
{
    // Many histories make one case, since a case costs little; shrinking so
    // many steps would take minutes, and a failing case runs again by seed.
    constexpr std::size_t histories = 20;
    CHECK(rc::check(
        "budgets hold and bills are exact under any interleaving",
        []
        {
            const std::size_t length =
                *rc::gen::noShrink(rc::gen::inRange<std::size_t>(100, 400));
            for (std::size_t i = 0; i < histories; ++i)
            {
                const std::vector<world_command> commands = *rc::gen::noShrink(
                    rc::gen::container<std::vector<world_command>>(
                        length,
                        rc::gen::resize(rc::kNominalSize,
                                        rc::gen::arbitrary<world_command>())));
                RC_ASSERT(fault_of(commands) == "");
            }
        }));
}
