#include <rapidcheck.h>

#include "libraries/domain/move/sequential_test.hpp"
#include "libraries/domain/move/version_evidence.hpp"
#include "libraries/domain/move/version_judge.hpp"

#include <cmath>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

TEST_GROUP(move_evidence){};

TEST(move_evidence, merging_equals_recording_together)
{
    CHECK(rc::check("merge is addition in any split",
                    [](const std::vector<std::pair<std::uint32_t, bool>>& raw)
                    {
                        version_evidence combined;
                        version_evidence parts[2];
                        for (const auto& [value, is_first] : raw)
                        {
                            request_observation observation;
                            observation.is_failure = value % 7 == 0;
                            observation.first_token =
                                std::chrono::microseconds(value % 5'000'000);
                            observation.worst_gap =
                                std::chrono::microseconds(value % 100'000);
                            combined.record(observation);
                            parts[is_first ? 0 : 1].record(observation);
                        }
                        version_evidence other_order = parts[1];
                        other_order.merge(parts[0]);
                        parts[0].merge(parts[1]);
                        RC_ASSERT(parts[0] == combined);
                        RC_ASSERT(other_order == combined);
                        RC_ASSERT(combined.first_token.buckets().size() <=
                                  400U);
                    }));
}

TEST(move_evidence, ratio_agrees_with_hand_computed_cases)
{
    // Three failures of three at a null rate of 0.1: the mixture is the mean
    // of p^3 for p from 0.1 to 1, (1 - 0.1^4) / 4 / 0.9, over 0.1^3.
    DOUBLES_EQUAL(std::log((1 - 1e-4) / 4 / 0.9 / 1e-3),
                  sequential_test::log_ratio({3, 3}, 0.1), 1e-9);
    DOUBLES_EQUAL(0, sequential_test::log_ratio({100, 10}, 0.1), 0);
    DOUBLES_EQUAL(0, sequential_test::log_ratio({0, 0}, 0.1), 0);
}

// Guards against a test that raises too many false alarms when it is evaluated
// after each trial. The true rate is the null rate itself; the fraction of runs
// with an alarm may be at most the significance level.
TEST(move_evidence, false_alarms_stay_below_the_significance_level)
{
    constexpr double level = 0.02;
    constexpr int runs = 2000;
    constexpr int trials = 1000;
    // Three standard deviations above the count that the level allows.
    const double allowed = level * runs + 3 * std::sqrt(level * runs);
    for (const double rate : {0.02, 0.1, 0.4})
    {
        std::mt19937_64 random(20261204);
        std::bernoulli_distribution is_hit(rate);
        int alarms = 0;
        for (int run = 0; run < runs; ++run)
        {
            proportion observed;
            for (int trial = 0; trial < trials; ++trial)
            {
                observed += {1, is_hit(random) ? 1 : 0};
                if (sequential_test::log_ratio(observed, rate) >=
                    -std::log(level))
                {
                    ++alarms;
                    break;
                }
            }
        }
        CHECK_COMPARE(alarms, <=, allowed);
    }
}

namespace
{

/// Judges the new version after each simulated second and returns whether it
/// is found bad. Its rate changes halfway.
bool finds_bad(double old_rate, double early_rate, double late_rate,
               std::uint64_t seed, int seconds)
{
    constexpr int per_second = 20;
    std::mt19937_64 random(seed);
    std::bernoulli_distribution old_fails(old_rate);
    judge_settings settings;
    settings.significance_level = 0.02;
    version_judge judge(settings, {});
    tally_pair counted;
    for (int second = 0; second < seconds; ++second)
    {
        std::bernoulli_distribution new_fails(second < seconds / 2 ? early_rate
                                                                   : late_rate);
        for (int number = 0; number < per_second; ++number)
        {
            counted.from.counts[0] += {1, old_fails(random) ? 1 : 0};
            counted.to.counts[0] += {1, new_fails(random) ? 1 : 0};
        }
        if (judge.judge(counted).is_bad)
        {
            return true;
        }
        judge.start_window(counted);
    }
    return false;
}

} // namespace

TEST(move_evidence, judge_keeps_its_significance_level_over_all_windows)
{
    constexpr int runs = 400;
    int alarms = 0;
    for (int run = 0; run < runs; ++run)
    {
        // Worse than the old version by nearly the whole margin of 0.01.
        alarms += finds_bad(0.02, 0.029, 0.029, 1000U + run, 200) ? 1 : 0;
    }
    constexpr double level = 0.02;
    CHECK_COMPARE(alarms, <=, level * runs + 3 * std::sqrt(level * runs));
}

TEST(move_evidence, judge_finds_a_version_that_turns_bad_late)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        // 4,000 good requests, then 200 of which a quarter fails.
        CHECK_TRUE(finds_bad(0.02, 0.0, 0.25, seed, 20));
        CHECK_TRUE(finds_bad(0.02, 0.0, 0.25, seed, 400));
    }
}

TEST(move_evidence, failures_of_both_versions_are_no_evidence)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937_64 random(seed);
        version_judge judge({}, {});
        tally_pair counted;
        for (int second = 0; second < 200; ++second)
        {
            std::bernoulli_distribution fails(second < 150 ? 0.002 : 0.3);
            for (int number = 0; number < 20; ++number)
            {
                counted.from.counts[0] += {1, fails(random) ? 1 : 0};
                counted.to.counts[0] += {1, fails(random) ? 1 : 0};
            }
            CHECK_FALSE(judge.judge(counted).is_bad);
            judge.start_window(counted);
        }
    }
}
