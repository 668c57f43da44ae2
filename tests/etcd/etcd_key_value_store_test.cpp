#include "libraries/adapters/etcd/etcd_key_value_store.hpp"
#include "libraries/adapters/openssl/base64.hpp"
#include "libraries/adapters/system/system_clock.hpp"
#include "standins/key_value/key_value_server.hpp"

#include <rapidcheck.h>

#include <memory>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

constexpr std::chrono::milliseconds patience{10'000};
constexpr std::chrono::milliseconds short_timeout{50};

adapters::etcd_settings settings_for(int port)
{
    adapters::etcd_settings settings;
    settings.endpoints = {"127.0.0.1:" + std::to_string(port)};
    settings.call_timeout = patience;
    return settings;
}

int code_of(const auto& outcome)
{
    return outcome ? 0 : static_cast<int>(outcome.failure().code);
}

} // namespace

#define CHECK_CODE(expected, outcome)                                          \
    LONGS_EQUAL(static_cast<int>(result_code::expected), code_of(outcome))

TEST_GROUP(etcd_key_value_store)
{
    adapters::system_clock m_clock;
    std::unique_ptr<standins::key_value_server> m_server;
    std::unique_ptr<adapters::etcd_key_value_store> m_store;
    int m_port = 0;

    void setup() override
    {
        standins::key_value_server_options options;
        options.threads = 8;
        options.max_history_events = 4;
        m_server =
            std::make_unique<standins::key_value_server>(m_clock, options);
        m_port = m_server->start("127.0.0.1", 0).value_or(0);
        m_store = std::make_unique<adapters::etcd_key_value_store>(
            settings_for(m_port));
    }

    void teardown() override
    {
        m_store.reset();
        m_server.reset();
    }

    std::string value_at(const std::string& key)
    {
        const result<std::optional<ports::key_value>> read = m_store->get(key);
        return read && read.value() ? read.value()->value : "(none)";
    }
};

TEST(etcd_key_value_store, swap_needs_the_expected_number)
{
    const result<ports::revision> first =
        m_store->compare_and_swap("a", "1", 0, 0);
    CHECK_TRUE(first.has_value());
    CHECK_CODE(platform_conflict, m_store->compare_and_swap("a", "2", 0, 0));
    const result<ports::revision> second =
        m_store->compare_and_swap("a", "2", first.value(), 0);
    CHECK_TRUE(second.has_value());
    CHECK_TRUE(second.value() > first.value());
    STRCMP_EQUAL("2", value_at("a").c_str());
    LONGS_EQUAL(second.value(),
                m_store->get("a").value()->modification_revision);
}

TEST(etcd_key_value_store, deletion_needs_the_expected_number)
{
    const ports::revision made =
        m_store->compare_and_swap("a", "1", 0, 0).value();
    CHECK_CODE(platform_conflict, m_store->compare_and_delete("a", made + 1));
    CHECK_TRUE(m_store->compare_and_delete("a", made).has_value());
    STRCMP_EQUAL("(none)", value_at("a").c_str());
    CHECK_TRUE(m_store->compare_and_swap("a", "2", 0, 0).has_value());
}

TEST(etcd_key_value_store, list_returns_the_prefix_alone)
{
    for (const char* key : {"p/1", "p/2", "p", "q/1"})
    {
        CHECK_TRUE(m_store->compare_and_swap(key, key, 0, 0).has_value());
    }
    const result<ports::key_range> range = m_store->list("p/");
    CHECK_TRUE(range.has_value());
    LONGS_EQUAL(2, range.value().entries.size());
    STRCMP_EQUAL("p/2", range.value().entries.back().value.c_str());
}

TEST(etcd_key_value_store, lost_reply_is_unknown_and_a_read_resolves_it)
{
    CHECK_TRUE(
        m_server->set_faults({{"drop_reply_after_effect", 1}}).has_value());
    const result<ports::revision> lost =
        m_store->compare_and_swap("a", "mine", 0, 0);
    CHECK_CODE(platform_outcome_unknown, lost);
    CHECK_TRUE(lost.failure().effect == outcome::outcome_unknown);
    STRCMP_EQUAL("mine", value_at("a").c_str());
}

TEST(etcd_key_value_store, lost_request_is_unknown_and_a_read_resolves_it)
{
    CHECK_TRUE(m_server->set_faults({{"drop_before_effect", 1}}).has_value());
    CHECK_CODE(platform_outcome_unknown,
               m_store->compare_and_swap("a", "mine", 0, 0));
    STRCMP_EQUAL("(none)", value_at("a").c_str());
}

TEST(etcd_key_value_store, closed_connection_maps_by_kind_of_call)
{
    CHECK_TRUE(m_server->set_faults({{"outage", true}}).has_value());
    CHECK_CODE(platform_unavailable, m_store->get("a"));
    CHECK_CODE(platform_outcome_unknown,
               m_store->compare_and_swap("a", "1", 0, 0));
}

TEST(etcd_key_value_store, refusal_without_effect_is_unavailable)
{
    CHECK_TRUE(m_server->set_faults({{"unavailable", true}}).has_value());
    CHECK_CODE(platform_unavailable, m_store->get("a"));
    const result<ports::revision> refused =
        m_store->compare_and_swap("a", "1", 0, 0);
    CHECK_CODE(platform_unavailable, refused);
    CHECK_TRUE(refused.failure().effect == outcome::not_run);
}

TEST(etcd_key_value_store, no_connection_is_unavailable)
{
    m_server->shut_down();
    CHECK_CODE(platform_unavailable, m_store->get("a"));
    CHECK_CODE(platform_unavailable, m_store->compare_and_swap("a", "1", 0, 0));
    CHECK_CODE(platform_unavailable, m_store->watch("a", 1, patience));
}

TEST(etcd_key_value_store, silence_is_a_timeout_or_an_unknown_outcome)
{
    CHECK_TRUE(m_server->set_faults({{"delay_ms", 600'000}}).has_value());
    adapters::etcd_settings settings = settings_for(m_port);
    settings.call_timeout = short_timeout;
    adapters::etcd_key_value_store store(settings);
    CHECK_CODE(platform_timeout, store.get("a"));
    CHECK_CODE(platform_outcome_unknown,
               store.compare_and_swap("a", "1", 0, 0));
}

TEST(etcd_key_value_store, another_endpoint_takes_over)
{
    adapters::etcd_settings settings = settings_for(m_port);
    // Port 1 refuses connections.
    settings.endpoints.insert(settings.endpoints.begin(), "127.0.0.1:1");
    adapters::etcd_key_value_store store(settings);
    CHECK_TRUE(store.compare_and_swap("a", "1", 0, 0).has_value());
    CHECK_TRUE(store.get("a").value().has_value());
}

TEST(etcd_key_value_store, rate_limit_is_reported_with_a_pause)
{
    CHECK_TRUE(m_server->set_faults({{"write_rate", 0}}).has_value());
    const result<ports::revision> refused =
        m_store->compare_and_swap("a", "1", 0, 0);
    CHECK_CODE(platform_rate_limited, refused);
    CHECK_TRUE(refused.failure().effect == outcome::not_run);
    CHECK_TRUE(m_store->get("a").has_value());
}

TEST(etcd_key_value_store, large_value_is_refused)
{
    constexpr std::size_t limit = 1'048'576;
    CHECK_TRUE(m_store->compare_and_swap("a", std::string(limit, 'x'), 0, 0)
                   .has_value());
    CHECK_CODE(
        platform_value_too_large,
        m_store->compare_and_swap("b", std::string(limit + 1, 'x'), 0, 0));
}

TEST(etcd_key_value_store, lease_binds_keys_and_is_lost_when_revoked)
{
    const ports::lease_id lease =
        m_store->create_lease(std::chrono::seconds(60)).value();
    CHECK_TRUE(m_store->compare_and_swap("a", "1", 0, lease).has_value());
    CHECK_TRUE(m_store->renew_lease(lease).has_value());
    CHECK_TRUE(m_store->revoke_lease(lease).has_value());
    STRCMP_EQUAL("(none)", value_at("a").c_str());
    CHECK_CODE(lease_lost, m_store->renew_lease(lease));
    CHECK_CODE(lease_lost, m_store->revoke_lease(lease));
    CHECK_CODE(lease_lost, m_store->compare_and_swap("a", "1", 0, lease));
}

TEST(etcd_key_value_store, watch_returns_earlier_changes_and_deletions)
{
    const ports::revision made =
        m_store->compare_and_swap("w/a", "1", 0, 0).value();
    CHECK_TRUE(m_store->compare_and_delete("w/a", made).has_value());
    const result<ports::watch_batch> seen =
        m_store->watch("w/", made, patience);
    CHECK_TRUE(seen.has_value());
    LONGS_EQUAL(2, seen.value().events.size());
    CHECK_FALSE(seen.value().events.front().is_deleted);
    CHECK_TRUE(seen.value().events.back().is_deleted);
    LONGS_EQUAL(made + 1, seen.value().store_revision);
}

TEST(etcd_key_value_store, watch_returns_as_soon_as_a_change_came)
{
    result<ports::watch_batch> seen = ports::watch_batch{};
    const ports::revision start =
        m_store->list("w/").value().store_revision + 1;
    std::thread watcher([this, &seen, start]
                        { seen = m_store->watch("w/", start, patience); });
    CHECK_TRUE(m_store->compare_and_swap("other", "1", 0, 0).has_value());
    CHECK_TRUE(m_store->compare_and_swap("w/a", "1", 0, 0).has_value());
    watcher.join();
    CHECK_TRUE(seen.has_value());
    LONGS_EQUAL(1, seen.value().events.size());
    STRCMP_EQUAL("w/a", seen.value().events.front().entry.key.c_str());
}

TEST(etcd_key_value_store, quiet_watch_is_empty_and_loses_no_change)
{
    const ports::revision made =
        m_store->compare_and_swap("other", "1", 0, 0).value();
    const result<ports::watch_batch> seen =
        m_store->watch("w/", made, short_timeout * 4);
    CHECK_TRUE(seen.has_value());
    LONGS_EQUAL(0, seen.value().events.size());
    LONGS_EQUAL(made - 1, seen.value().store_revision);
}

TEST(etcd_key_value_store, compacted_watch_says_so)
{
    for (int step = 0; step < 6; ++step)
    {
        const std::string key = "k" + std::to_string(step);
        CHECK_TRUE(m_store->compare_and_swap(key, "1", 0, 0).has_value());
    }
    const result<ports::watch_batch> seen = m_store->watch("k", 2, patience);
    CHECK_TRUE(seen.has_value());
    CHECK_TRUE(seen.value().is_compacted);
}

TEST_GROUP(base64){};

TEST(base64, round_trip)
{
    CHECK(rc::check("decoding undoes encoding",
                    [](const std::string& bytes)
                    {
                        RC_ASSERT(adapters::decode_base64(
                                      adapters::encode_base64(bytes)) == bytes);
                    }));
}

TEST(base64, rejects_what_is_not_base64)
{
    CHECK_FALSE(adapters::decode_base64("abc").has_value());
    CHECK_FALSE(adapters::decode_base64("a!cd").has_value());
}
