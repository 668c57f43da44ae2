#include <rapidcheck.h>

#include "libraries/drivers/leadership/leadership.hpp"
#include "libraries/fakes/fake_key_value_store.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using fakes::store_fault;

namespace
{

class null_logger final : public logger
{
public:
    void write(log_level, log_event, const std::vector<log_field>&) override {}
};

struct fixture
{
    drivers::leadership make(const std::string& holder)
    {
        return {store, clock, log, {"moves", holder}};
    }

    fakes::manual_clock clock;
    fakes::fake_key_value_store store{clock};
    null_logger log;
    drivers::leadership first = make("first");
    drivers::leadership second = make("second");
};

} // namespace

TEST_GROUP(leadership){};

TEST(leadership, two_processes_never_lead_at_once_and_fencing_numbers_rise)
{
    CHECK(rc::check(
        "any schedule of steps, pauses, delays and faults",
        []
        {
            fixture f;
            const auto schedule =
                *rc::gen::container<std::vector<std::pair<int, int>>>(
                    rc::gen::pair(rc::gen::inRange(0, 5),
                                  rc::gen::inRange(0, 4'000)));
            std::optional<ports::revision> highest;
            for (const auto& [action, pause] : schedule)
            {
                f.clock.advance(std::chrono::milliseconds(pause));
                f.store.set_delay(&f.clock,
                                  std::chrono::milliseconds(pause / 4));
                if (action == 4)
                {
                    f.store.script(
                        *rc::gen::container<std::vector<store_fault>>(
                            rc::gen::element(store_fault::none,
                                             store_fault::lost_reply,
                                             store_fault::delayed_effect,
                                             store_fault::unavailable)));
                    f.store.apply_delayed_writes();
                }
                else
                {
                    (action % 2 == 0 ? f.first : f.second).step();
                }
                const std::optional<ports::revision> one = f.first.fencing();
                const std::optional<ports::revision> two = f.second.fencing();
                RC_ASSERT(!(one && two));
                const std::optional<ports::revision> held = one ? one : two;
                RC_ASSERT(!held || !highest || *held >= *highest);
                highest = held ? held : highest;
            }
        }));
}

TEST(leadership, a_paused_leader_stops_leading_and_another_takes_over)
{
    fixture f;
    f.first.step();
    const std::optional<ports::revision> before = f.first.fencing();
    CHECK(before.has_value());
    f.second.step();
    CHECK_FALSE(f.second.fencing().has_value());
    f.clock.advance(std::chrono::milliseconds(4'500));
    CHECK_FALSE(f.first.fencing().has_value());
    f.clock.advance(std::chrono::seconds(2));
    f.second.step();
    f.second.step();
    CHECK(f.second.fencing() > before);
    f.first.step();
    f.first.step();
    CHECK_FALSE(f.first.fencing().has_value());
}

TEST(leadership, a_stop_releases_the_duty_at_once)
{
    fixture f;
    f.first.step();
    f.first.stop();
    f.second.step();
    CHECK(f.second.fencing().has_value());
}

TEST(leadership, a_lost_reply_does_not_lose_the_duty)
{
    fixture f;
    f.store.script({store_fault::none, store_fault::lost_reply});
    f.first.step();
    CHECK(f.first.fencing().has_value());
    f.second.step();
    CHECK_FALSE(f.second.fencing().has_value());
}
