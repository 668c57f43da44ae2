#include <rapidcheck.h>

#include "libraries/codecs/burn/burn_reader.hpp"
#include "libraries/codecs/burn/history_codec.hpp"
#include "libraries/core/metrics/router_metrics.hpp"
#include "libraries/domain/burn/burn_calculator.hpp"
#include "utilities/turmeric_burn/history_file.hpp"
#include "utilities/turmeric_burn/report_text.hpp"

#include <cstdio>
#include <fstream>

#include <CppUTest/TestHarness.h>

using namespace turmeric;
using domain::burn_sample;
using domain::objective_kind;
using std::chrono::minutes;
using time_point = std::chrono::system_clock::time_point;

namespace
{

const domain::burn_key key{"narration", "", objective_kind::availability};
constexpr time_point now{std::chrono::hours(1000)};

burn_sample sample_at(minutes ago, const std::string& router,
                      std::int64_t events, std::int64_t bad,
                      std::int64_t start_s = 0)
{
    burn_sample sample;
    sample.time = now - ago;
    sample.router = router;
    sample.start_s = start_s;
    sample.counts[key] = {events, bad};
    return sample;
}

domain::burn_report report_of(const std::vector<burn_sample>& samples)
{
    domain::burn_history history;
    for (const burn_sample& sample : samples)
    {
        history.add(sample);
    }
    return domain::burn_calculator({}).report(history, now);
}

} // namespace

TEST_GROUP(burn){};

TEST(burn, windows_and_budget_match_hand_computed_rates)
{
    // The last hour has 1,000 requests of which 20 failed, all of them among
    // the 100 of the last 5 minutes. Before, 9,000 requests had no failure.
    const domain::burn_report report =
        report_of({sample_at(minutes(600), "r0", 0, 0),
                   sample_at(minutes(60), "r0", 9000, 0),
                   sample_at(minutes(5), "r0", 9900, 0),
                   sample_at(minutes(0), "r0", 10'000, 20)});
    const domain::objective_burn& objective = report.objectives.at(0);
    // The target is 99.9%: 20% bad is a rate of 200, 2% of 20, 0.2% of 2.
    DOUBLES_EQUAL(200, *objective.windows[0].rate, 1e-6);
    DOUBLES_EQUAL(20, *objective.windows[2].rate, 1e-6);
    DOUBLES_EQUAL(2, *objective.windows[4].rate, 1e-6);
    DOUBLES_EQUAL(-1, *objective.budget_left, 1e-6);
    CHECK_TRUE(objective.alert == domain::alert_severity::page);
    LONGS_EQUAL(600 * 60, report.covered.count());
}

TEST(burn, failures_that_have_ended_do_not_page)
{
    const domain::burn_report report =
        report_of({sample_at(minutes(60), "r0", 0, 0),
                   sample_at(minutes(31), "r0", 1000, 50),
                   sample_at(minutes(5), "r0", 1900, 50),
                   sample_at(minutes(0), "r0", 2000, 50)});
    const domain::objective_burn& objective = report.objectives.at(0);
    DOUBLES_EQUAL(25, *objective.windows[2].rate, 1e-6);
    DOUBLES_EQUAL(0, *objective.windows[0].rate, 1e-6);
    // Over 6 h and 3 d the rate is 25 as well. The last 30 minutes have no
    // failure, so only the rule with the longest windows alerts.
    CHECK_TRUE(objective.alert == domain::alert_severity::ticket);
}

TEST(burn, restarts_keep_the_counts_read_before_them)
{
    const domain::burn_report report =
        report_of({sample_at(minutes(50), "r0", 100, 0),
                   sample_at(minutes(40), "r0", 160, 1),
                   sample_at(minutes(30), "r0", 30, 0),
                   sample_at(minutes(20), "r0", 90, 2)});
    LONGS_EQUAL(60 + 30 + 60, report.objectives.at(0).windows[2].counts.events);
    LONGS_EQUAL(1 + 2, report.objectives.at(0).windows[2].counts.bad);
    LONGS_EQUAL(1, report.restarts.at("r0"));
}

TEST(burn, a_restart_with_higher_counts_is_detected_by_its_start_time)
{
    const std::int64_t started =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count() -
        600;
    const domain::burn_report report =
        report_of({sample_at(minutes(20), "r0", 100, 0, started - 9000),
                   sample_at(minutes(0), "r0", 130, 13, started),
                   sample_at(minutes(0), "r1", 70, 7, started)});
    // All requests of the new process and of the new router count.
    LONGS_EQUAL(200, report.objectives.at(0).windows[2].counts.events);
    LONGS_EQUAL(20, report.objectives.at(0).windows[2].counts.bad);
}

TEST(burn, missing_routers_are_listed_and_counting_continues_on_return)
{
    burn_sample missing = sample_at(minutes(10), "r0", 0, 0);
    missing.is_missing = true;
    missing.counts.clear();
    const std::vector<burn_sample> unreachable{
        sample_at(minutes(20), "r0", 100, 0), missing};
    CHECK_TRUE(report_of(unreachable).missing_routers.contains("r0"));
    std::vector<burn_sample> reachable_again = unreachable;
    reachable_again.push_back(sample_at(minutes(0), "r0", 150, 0));
    const domain::burn_report report = report_of(reachable_again);
    CHECK_TRUE(report.missing_routers.empty());
    LONGS_EQUAL(50, report.objectives.at(0).windows[2].counts.events);
}

TEST(burn, restarts_at_any_point_keep_the_sum)
{
    CHECK(rc::check(
        "restarts keep the sum",
        [](const std::vector<std::uint8_t>& steps)
        {
            std::vector<burn_sample> samples{
                sample_at(minutes(59), "r0", 0, 0, 1)};
            std::int64_t start_s = 1;
            std::int64_t process_events = 0;
            std::int64_t total = 0;
            int ago_s = 59 * 60;
            for (const std::uint8_t step : steps)
            {
                if (step % 4 == 0)
                {
                    ++start_s;
                    process_events = 0;
                }
                process_events += step;
                total += step;
                burn_sample next =
                    sample_at(minutes(0), "r0", process_events, 0, start_s);
                next.time = now - std::chrono::seconds(--ago_s);
                samples.push_back(next);
            }
            const domain::burn_report report = report_of(samples);
            RC_ASSERT(report.objectives.at(0).windows[2].counts.events ==
                      total);
        }));
}

TEST(burn, counts_match_a_load_with_known_failures)
{
    metrics::registry registry;
    metrics::router_metrics router(registry, {std::chrono::milliseconds(370)},
                                   {std::chrono::milliseconds(40)});
    router.requests.with_labels({"narration", "a", "hlaup", "ok"}).add(90);
    router.requests.with_labels({"narration", "b", "hlaup", "upstream_failed"})
        .add(7);
    router.requests.with_labels({"narration", "a", "other", "queue_full"})
        .add(3);
    router.requests.with_labels({"narration", "a", "other", "malformed_body"})
        .add(1000);
    metrics::histogram& first =
        router.first_token.with_labels({"narration", "a", "hlaup"});
    for (int number = 0; number < 30; ++number)
    {
        first.record(std::chrono::milliseconds(number < 24 ? 300 : 500));
    }
    router.token_gap.with_labels({"narration", "a", "hlaup"})
        .record(std::chrono::milliseconds(40));
    const auto lines = codecs::parse_metrics(registry.render());
    CHECK_TRUE(lines.has_value());
    const burn_sample sample = codecs::read_burn_sample(
        lines.value(), domain::burn_calculator({}), {"hlaup"});
    const auto counts_of = [&sample](const char* account, objective_kind kind) {
        return sample.counts.at({"narration", account, kind});
    };
    using domain::burn_counts;
    CHECK_TRUE(counts_of("", objective_kind::availability) ==
               (burn_counts{100, 10}));
    CHECK_TRUE(counts_of("hlaup", objective_kind::availability) ==
               (burn_counts{97, 7}));
    CHECK_TRUE(counts_of("", objective_kind::first_token) ==
               (burn_counts{30, 6}));
    CHECK_TRUE(counts_of("", objective_kind::token_gap) == (burn_counts{1, 0}));
}

TEST(burn, parse_errors_name_the_line)
{
    const auto parsed = codecs::parse_metrics("a 1\n# b\nc{d=\"e} 2\n");
    CHECK_FALSE(parsed.has_value());
    STRCMP_EQUAL("line 3", parsed.failure().field.c_str());
    const auto escaped = codecs::parse_metrics("a{b=\"x\\\"\\n\\\\\"} +Inf\n");
    STRCMP_EQUAL("x\"\n\\", escaped.value().at(0).labels.at("b").c_str());
}

TEST(burn, history_skips_a_line_truncated_by_a_crash)
{
    const std::string path = "burn_history_test.jsonl";
    std::remove(path.c_str());
    const burn::history_file file(path);
    const burn_sample first = sample_at(minutes(2), "r0", 5, 1);
    const burn_sample second = sample_at(minutes(1), "r0", 6, 1);
    CHECK_TRUE(file.append({first}).has_value());
    std::ofstream(path, std::ios::app) << "{\"time\":1";
    const auto truncated = file.read(time_point{});
    CHECK_TRUE(truncated.has_value());
    LONGS_EQUAL(1, truncated.value().size());
    CHECK_TRUE(truncated.value().at(0) == first);
    CHECK_TRUE(file.append({second}).has_value());
    const auto recovered = file.read(time_point{});
    CHECK_TRUE(recovered.has_value());
    LONGS_EQUAL(2, recovered.value().size());
    CHECK_TRUE(recovered.value().at(1) == second);
    LONGS_EQUAL(1, file.read(second.time).value().size());
    std::remove(path.c_str());
}

TEST(burn, page_is_self_contained_and_escapes_names)
{
    burn_sample escaped_sample = sample_at(minutes(30), "r0", 0, 0);
    escaped_sample.counts = {
        {{"<b>", "", objective_kind::availability}, {0, 0}}};
    burn_sample later = escaped_sample;
    later.time = now;
    later.counts.begin()->second = {10, 5};
    const std::string page = burn::to_html(report_of({escaped_sample, later}));
    CHECK_TRUE(page.find("&lt;b&gt;: availability") != std::string::npos);
    CHECK_TRUE(page.find("<b>") == std::string::npos);
    CHECK_TRUE(page.find("http") == std::string::npos);
    CHECK_TRUE(page.find("<path class=\"curve\" d=\"M") != std::string::npos);
}
