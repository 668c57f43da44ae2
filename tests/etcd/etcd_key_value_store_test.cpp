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

constexpr std::chrono::milliseconds timeout{10'000};
constexpr std::chrono::milliseconds short_timeout{50};

adapters::etcd_settings settings_for(int port)
{
    adapters::etcd_settings settings;
    settings.endpoints = {"127.0.0.1:" + std::to_string(port)};
    settings.call_timeout = timeout;
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

TEST(etcd_key_value_store, compare_and_swap_requires_the_expected_revision)
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

TEST(etcd_key_value_store, compare_and_delete_requires_the_expected_revision)
{
    const ports::revision created_revision =
        m_store->compare_and_swap("a", "1", 0, 0).value();
    CHECK_CODE(platform_conflict,
               m_store->compare_and_delete("a", created_revision + 1));
    CHECK_TRUE(m_store->compare_and_delete("a", created_revision).has_value());
    STRCMP_EQUAL("(none)", value_at("a").c_str());
    CHECK_TRUE(m_store->compare_and_swap("a", "2", 0, 0).has_value());
}

TEST(etcd_key_value_store, list_returns_only_keys_with_the_prefix)
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

TEST(etcd_key_value_store, lost_reply_leaves_outcome_unknown_until_a_read)
{
    CHECK_TRUE(
        m_server->set_faults({{"drop_reply_after_effect", 1}}).has_value());
    const result<ports::revision> lost =
        m_store->compare_and_swap("a", "mine", 0, 0);
    CHECK_CODE(platform_outcome_unknown, lost);
    CHECK_TRUE(lost.failure().effect == outcome::outcome_unknown);
    STRCMP_EQUAL("mine", value_at("a").c_str());
}

TEST(etcd_key_value_store, lost_request_leaves_outcome_unknown_until_a_read)
{
    CHECK_TRUE(m_server->set_faults({{"drop_before_effect", 1}}).has_value());
    CHECK_CODE(platform_outcome_unknown,
               m_store->compare_and_swap("a", "mine", 0, 0));
    STRCMP_EQUAL("(none)", value_at("a").c_str());
}

TEST(etcd_key_value_store, closed_connection_error_depends_on_call_kind)
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

TEST(etcd_key_value_store, failed_connection_is_unavailable)
{
    m_server->shut_down();
    CHECK_CODE(platform_unavailable, m_store->get("a"));
    CHECK_CODE(platform_unavailable, m_store->compare_and_swap("a", "1", 0, 0));
    CHECK_CODE(platform_unavailable, m_store->watch("a", 1, timeout));
}

TEST(etcd_key_value_store, timeout_error_depends_on_call_kind)
{
    CHECK_TRUE(m_server->set_faults({{"delay_ms", 600'000}}).has_value());
    adapters::etcd_settings settings = settings_for(m_port);
    settings.call_timeout = short_timeout;
    adapters::etcd_key_value_store store(settings);
    CHECK_CODE(platform_timeout, store.get("a"));
    CHECK_CODE(platform_outcome_unknown,
               store.compare_and_swap("a", "1", 0, 0));
}

TEST(etcd_key_value_store, unreachable_endpoint_fails_over_to_the_next)
{
    adapters::etcd_settings settings = settings_for(m_port);
    // Port 1 refuses connections.
    settings.endpoints.insert(settings.endpoints.begin(), "127.0.0.1:1");
    adapters::etcd_key_value_store store(settings);
    CHECK_TRUE(store.compare_and_swap("a", "1", 0, 0).has_value());
    CHECK_TRUE(store.get("a").value().has_value());
}

TEST(etcd_key_value_store, rate_limited_write_is_not_run)
{
    CHECK_TRUE(m_server->set_faults({{"write_rate", 0}}).has_value());
    const result<ports::revision> refused =
        m_store->compare_and_swap("a", "1", 0, 0);
    CHECK_CODE(platform_rate_limited, refused);
    CHECK_TRUE(refused.failure().effect == outcome::not_run);
    CHECK_TRUE(m_store->get("a").has_value());
}

TEST(etcd_key_value_store, value_over_the_size_limit_is_refused)
{
    constexpr std::size_t limit = 1'048'576;
    CHECK_TRUE(m_store->compare_and_swap("a", std::string(limit, 'x'), 0, 0)
                   .has_value());
    CHECK_CODE(
        platform_value_too_large,
        m_store->compare_and_swap("b", std::string(limit + 1, 'x'), 0, 0));
}

TEST(etcd_key_value_store, revoked_lease_deletes_its_keys_and_is_lost)
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
    const ports::revision created_revision =
        m_store->compare_and_swap("w/a", "1", 0, 0).value();
    CHECK_TRUE(
        m_store->compare_and_delete("w/a", created_revision).has_value());
    const result<ports::watch_batch> batch =
        m_store->watch("w/", created_revision, timeout);
    CHECK_TRUE(batch.has_value());
    LONGS_EQUAL(2, batch.value().events.size());
    CHECK_FALSE(batch.value().events.front().is_deleted);
    CHECK_TRUE(batch.value().events.back().is_deleted);
    LONGS_EQUAL(created_revision + 1, batch.value().store_revision);
}

TEST(etcd_key_value_store, watch_returns_as_soon_as_a_change_arrives)
{
    result<ports::watch_batch> batch = ports::watch_batch{};
    const ports::revision start =
        m_store->list("w/").value().store_revision + 1;
    std::thread watcher([this, &batch, start]
                        { batch = m_store->watch("w/", start, timeout); });
    CHECK_TRUE(m_store->compare_and_swap("other", "1", 0, 0).has_value());
    CHECK_TRUE(m_store->compare_and_swap("w/a", "1", 0, 0).has_value());
    watcher.join();
    CHECK_TRUE(batch.has_value());
    LONGS_EQUAL(1, batch.value().events.size());
    STRCMP_EQUAL("w/a", batch.value().events.front().entry.key.c_str());
}

TEST(etcd_key_value_store, watch_without_changes_is_empty_and_skips_no_revision)
{
    const ports::revision created_revision =
        m_store->compare_and_swap("other", "1", 0, 0).value();
    const result<ports::watch_batch> batch =
        m_store->watch("w/", created_revision, short_timeout * 4);
    CHECK_TRUE(batch.has_value());
    LONGS_EQUAL(0, batch.value().events.size());
    LONGS_EQUAL(created_revision - 1, batch.value().store_revision);
}

TEST(etcd_key_value_store, watch_reports_compacted_revision)
{
    for (int step = 0; step < 6; ++step)
    {
        const std::string key = "k" + std::to_string(step);
        CHECK_TRUE(m_store->compare_and_swap(key, "1", 0, 0).has_value());
    }
    const result<ports::watch_batch> batch = m_store->watch("k", 2, timeout);
    CHECK_TRUE(batch.has_value());
    CHECK_TRUE(batch.value().is_compacted);
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

TEST(base64, rejects_invalid_base64)
{
    CHECK_FALSE(adapters::decode_base64("abc").has_value());
    CHECK_FALSE(adapters::decode_base64("a!cd").has_value());
}
