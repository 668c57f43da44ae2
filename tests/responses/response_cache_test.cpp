#include "libraries/drivers/responses/response_cache.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using turmeric::error;
using turmeric::result;
using turmeric::result_code;
using turmeric::drivers::opened_response;
using turmeric::drivers::response_buffer;
using turmeric::drivers::response_cache;
using turmeric::drivers::response_cache_settings;
using turmeric::drivers::response_part;

namespace
{

constexpr std::chrono::milliseconds no_wait{0};
constexpr std::chrono::seconds timeout{30};

} // namespace

TEST_GROUP(response_cache)
{
    turmeric::fakes::manual_clock m_clock;
};

TEST(response_cache, replays_the_complete_response_to_a_repeated_request)
{
    response_cache cache({}, m_clock);
    opened_response first = cache.open("a", "r", 1).value();
    CHECK_TRUE(first.is_new);
    CHECK_TRUE(first.buffer->append("one", timeout));
    CHECK_TRUE(first.buffer->append("two", timeout));
    first.buffer->finish({7, 3, 4, 0, "stop"});
    cache.close("a", "r", true);

    opened_response again = cache.open("a", "r", 1).value();
    CHECK_FALSE(again.is_new);
    response_part part =
        again.buffer->read(again.buffer->attach_reader(), no_wait);
    LONGS_EQUAL(2, part.pieces.size());
    LONGS_EQUAL(7, part.end->billed);
}

TEST(response_cache, refuses_a_request_id_with_another_body)
{
    response_cache cache({}, m_clock);
    CHECK_TRUE(cache.open("a", "r", 1).has_value());
    result<opened_response> other = cache.open("a", "r", 2);
    CHECK(other.failure().code == result_code::request_id_reused);
    CHECK(other.failure().effect == turmeric::outcome::not_run);
    CHECK_TRUE(cache.open("b", "r", 2).has_value());
}

TEST(response_cache, a_newer_reader_starts_over_and_supersedes)
{
    response_cache cache({}, m_clock);
    std::shared_ptr<response_buffer> buffer =
        cache.open("a", "r", 1).value().buffer;
    std::uint64_t first = buffer->attach_reader();
    buffer->append("one", timeout);
    LONGS_EQUAL(1, buffer->read(first, no_wait).pieces.size());
    std::uint64_t second = buffer->attach_reader();
    CHECK_TRUE(buffer->read(first, no_wait).is_superseded);
    LONGS_EQUAL(1, buffer->read(second, no_wait).pieces.size());
    // A superseded reader cannot cancel the response of the newer one.
    buffer->cancel(first);
    CHECK_FALSE(buffer->is_cancelled());
}

TEST(response_cache, blocks_the_writer_at_the_limit_of_unread_bytes)
{
    constexpr std::size_t max_unread_bytes = 4;
    response_buffer buffer(max_unread_bytes);
    std::uint64_t reader = buffer.attach_reader();
    CHECK_TRUE(buffer.append("12345", no_wait));
    CHECK_FALSE(buffer.append("6", no_wait));
    LONGS_EQUAL(1, buffer.piece_count());
    LONGS_EQUAL(1, buffer.read(reader, no_wait).pieces.size());
    CHECK_TRUE(buffer.append("6", no_wait));
}

TEST(response_cache, one_read_returns_a_limited_number_of_pieces)
{
    constexpr std::size_t large_limit = 1U << 20U;
    constexpr std::size_t count = response_buffer::max_pieces_per_read + 1;
    response_buffer buffer(large_limit);
    std::uint64_t reader = buffer.attach_reader();
    for (std::size_t i = 0; i < count; ++i)
    {
        buffer.append("x", no_wait);
    }
    buffer.finish({});
    response_part first = buffer.read(reader, no_wait);
    LONGS_EQUAL(response_buffer::max_pieces_per_read, first.pieces.size());
    CHECK_FALSE(first.end.has_value());
    response_part rest = buffer.read(reader, no_wait);
    LONGS_EQUAL(1, rest.pieces.size());
    CHECK_TRUE(rest.end.has_value());
}

TEST(response_cache, wakes_a_blocked_writer_when_its_reader_cancels)
{
    constexpr std::size_t max_unread_bytes = 1;
    response_buffer buffer(max_unread_bytes);
    std::uint64_t reader = buffer.attach_reader();
    CHECK_TRUE(buffer.append("x", no_wait));
    bool was_added = true;
    std::thread writer([&buffer, &was_added]
                       { was_added = buffer.append("y", timeout); });
    buffer.cancel(reader);
    writer.join();
    CHECK_FALSE(was_added);
}

TEST(response_cache, evicts_responses_over_the_retention_time_or_bytes)
{
    response_cache_settings settings;
    settings.retention = std::chrono::seconds(60);
    settings.max_retained_bytes = 10;
    response_cache cache(settings, m_clock);
    for (const char* id : {"old", "new"})
    {
        std::shared_ptr<response_buffer> buffer =
            cache.open("a", id, 1).value().buffer;
        buffer->append("12345678", timeout);
        buffer->finish({});
        cache.close("a", id, true);
    }
    CHECK_TRUE(cache.open("a", "old", 1).value().is_new);
    CHECK_FALSE(cache.open("a", "new", 1).value().is_new);
    m_clock.advance(std::chrono::seconds(61));
    CHECK_TRUE(cache.open("a", "new", 1).value().is_new);
}

TEST(response_cache, limits_the_number_of_responses)
{
    response_cache_settings settings;
    settings.max_responses = 1;
    response_cache cache(settings, m_clock);
    CHECK_TRUE(cache.open("a", "1", 1).has_value());
    CHECK(cache.open("a", "2", 1).failure().code == result_code::ledger_full);
    cache.close("a", "1", false);
    CHECK_TRUE(cache.open("a", "2", 1).has_value());
}
