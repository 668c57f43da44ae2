#include <rapidcheck.h>

#include "libraries/core/metrics/router_metrics.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace turmeric::metrics;

TEST_GROUP(metrics){};

TEST(metrics, bucket_midpoint_is_within_the_stated_error)
{
    CHECK(rc::check(
        "midpoint within 1/32",
        []
        {
            const auto value = *rc::gen::inRange<std::uint64_t>(
                0, std::uint64_t{1} << log_linear_layout::value_bits);
            const std::size_t index = log_linear_layout::index_of(value);
            RC_ASSERT(index < log_linear_layout::bucket_count);
            RC_ASSERT(log_linear_layout::lower_bound(index) <= value);
            RC_ASSERT(value < log_linear_layout::upper_bound(index));
            const double midpoint = log_linear_layout::midpoint(index);
            RC_ASSERT(std::abs(midpoint - static_cast<double>(value)) <=
                      log_linear_layout::relative_error *
                          static_cast<double>(value));
        }));
}

TEST(metrics, quantile_is_within_the_stated_error)
{
    CHECK(rc::check(
        "quantile within 1/32",
        [](std::vector<std::uint32_t> values)
        {
            RC_PRE(!values.empty());
            histogram recorded;
            for (std::uint32_t& value : values)
            {
                value %= 1U << 27;
                recorded.record(std::chrono::microseconds(value));
            }
            std::sort(values.begin(), values.end());
            const std::size_t rank =
                static_cast<std::size_t>(std::ceil(0.9 * values.size())) - 1;
            const double exact = values[rank];
            const double estimate =
                static_cast<double>(recorded.quantile(0.9).count());
            // Rounding to integer microseconds adds half a unit.
            RC_ASSERT(std::abs(estimate - exact) <= exact / 32 + 0.5);
        }));
}

TEST(metrics, label_sets_beyond_the_limit_are_counted_as_other)
{
    registry metrics_registry;
    family<counter>& requests = metrics_registry.make<counter>(
        {"requests", "Requests.", {"route"}, 2, {}});
    for (const char* route : {"a", "b", "c", "d", "a"})
    {
        requests.with_labels({route}).add();
    }
    STRCMP_EQUAL("# HELP requests Requests.\n# TYPE requests counter\n"
                 "requests{route=\"a\"} 2\nrequests{route=\"b\"} 1\n"
                 "requests{route=\"other\"} 2\n",
                 metrics_registry.render().c_str());
}

TEST(metrics, histogram_text_is_cumulative_and_has_pinned_bounds)
{
    registry metrics_registry;
    family<histogram>& gaps = metrics_registry.make<histogram>(
        {"gap", "Gaps.", {}, 1, {std::chrono::milliseconds(40)}});
    gaps.with_labels({}).record(std::chrono::microseconds(10));
    gaps.with_labels({}).record(std::chrono::seconds(1000));
    STRCMP_EQUAL("# HELP gap Gaps.\n# TYPE gap histogram\n"
                 "gap_bucket{le=\"0.000010\"} 1\n"
                 "gap_bucket{le=\"0.040959\"} 1\n"
                 "gap_bucket{le=\"+Inf\"} 2\n"
                 "gap_sum 1000.00001\ngap_count 2\n",
                 metrics_registry.render().c_str());
}

TEST(metrics, label_values_are_escaped)
{
    STRCMP_EQUAL("a=\"x\\\"\\\\\\n\"",
                 format_labels({"a"}, {"x\"\\\n"}).c_str());
}

TEST(metrics, concurrent_increments_are_all_counted)
{
    registry metrics_registry;
    family<counter>& requests = metrics_registry.make<counter>(
        {"requests", "Requests.", {"route"}, 64, {}});
    constexpr int per_thread = 10'000;
    constexpr int sets = 100;
    std::vector<std::thread> threads;
    for (int thread_index = 0; thread_index < 4; ++thread_index)
    {
        threads.emplace_back(
            [&requests]
            {
                for (int increment = 0; increment < per_thread; ++increment)
                {
                    requests.with_labels({std::to_string(increment % sets)})
                        .add();
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    // All threads add the same label sets concurrently. Those beyond the limit
    // are counted as "other".
    std::uint64_t total = requests.with_labels({"other"}).value();
    for (int set = 0; set < sets; ++set)
    {
        counter& counted = requests.with_labels({std::to_string(set)});
        total +=
            &counted == &requests.with_labels({"other"}) ? 0 : counted.value();
    }
    LONGS_EQUAL(4 * per_thread, total);
    const std::string text = metrics_registry.render();
    // Two header lines, at most 64 label sets and "other".
    CHECK_COMPARE(std::count(text.begin(), text.end(), '\n'), <=, 2 + 64 + 1);
}
