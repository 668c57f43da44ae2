#include <rapidcheck.h>

#include "tests/budget/budget_simulation.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using turmeric::tests::budget_simulation;
using turmeric::tests::simulation_command;

namespace rc
{

template <>
struct Arbitrary<simulation_command>
{
    static Gen<simulation_command> arbitrary()
    {
        return gen::build<simulation_command>(
            gen::set(&simulation_command::kind,
                     gen::inRange(0, budget_simulation::command_kind_count)),
            gen::set(&simulation_command::first, gen::inRange(0, 3)),
            gen::set(&simulation_command::second, gen::inRange(0, 1000)),
            gen::set(&simulation_command::amount, gen::inRange(0, 1000)));
    }
};

} // namespace rc

namespace
{

std::string violation_of(const std::vector<simulation_command>& commands)
{
    budget_simulation simulation;
    for (const simulation_command& command : commands)
    {
        simulation.run(command);
    }
    simulation.finish();
    return simulation.first_violation();
}

} // namespace

TEST_GROUP(interleaving){};

TEST(interleaving, keeps_budget_and_billing_invariants)
{
    // One case runs many histories, because a history is cheap. Shrinking is
    // off, because it would take minutes with so many steps; a failing case
    // can be repeated by its seed.
    constexpr std::size_t histories_per_case = 20;
    CHECK(rc::check(
        "budgets are never exceeded and bills are exact in any interleaving",
        []
        {
            const std::size_t length =
                *rc::gen::noShrink(rc::gen::inRange<std::size_t>(100, 400));
            for (std::size_t i = 0; i < histories_per_case; ++i)
            {
                const std::vector<simulation_command> commands =
                    *rc::gen::noShrink(
                        rc::gen::container<std::vector<simulation_command>>(
                            length,
                            rc::gen::resize(
                                rc::kNominalSize,
                                rc::gen::arbitrary<simulation_command>())));
                RC_ASSERT(violation_of(commands) == "");
            }
        }));
}
