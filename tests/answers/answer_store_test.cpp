#include "libraries/drivers/answers/answer_store.hpp"
#include "libraries/fakes/manual_clock.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using turmeric::error;
using turmeric::result;
using turmeric::result_code;
using turmeric::drivers::answer_part;
using turmeric::drivers::answer_record;
using turmeric::drivers::answer_store;
using turmeric::drivers::answer_store_settings;
using turmeric::drivers::opened_answer;

namespace
{

constexpr std::chrono::milliseconds at_once{0};
constexpr std::chrono::seconds patience{30};

} // namespace

TEST_GROUP(answers)
{
    turmeric::fakes::manual_clock m_clock;
};

TEST(answers, a_repeated_request_replays_the_whole_answer)
{
    answer_store store({}, m_clock);
    opened_answer first = store.open("a", "r", 1).value();
    CHECK_TRUE(first.is_new);
    CHECK_TRUE(first.record->append("one", patience));
    CHECK_TRUE(first.record->append("two", patience));
    first.record->finish({7, 3, 4, 0, "stop"});
    store.close("a", "r", true);

    opened_answer again = store.open("a", "r", 1).value();
    CHECK_FALSE(again.is_new);
    answer_part part = again.record->read(again.record->attach(), at_once);
    LONGS_EQUAL(2, part.pieces.size());
    LONGS_EQUAL(7, part.end->billed);
}

TEST(answers, refuses_the_same_id_with_another_body)
{
    answer_store store({}, m_clock);
    CHECK_TRUE(store.open("a", "r", 1).has_value());
    result<opened_answer> other = store.open("a", "r", 2);
    CHECK(other.failure().code == result_code::request_id_reused);
    CHECK(other.failure().effect == turmeric::outcome::not_run);
    CHECK_TRUE(store.open("b", "r", 2).has_value());
}

TEST(answers, a_newer_reader_takes_over_from_the_start)
{
    answer_store store({}, m_clock);
    std::shared_ptr<answer_record> record =
        store.open("a", "r", 1).value().record;
    std::uint64_t first = record->attach();
    record->append("one", patience);
    LONGS_EQUAL(1, record->read(first, at_once).pieces.size());
    std::uint64_t second = record->attach();
    CHECK_TRUE(record->read(first, at_once).is_superseded);
    LONGS_EQUAL(1, record->read(second, at_once).pieces.size());
    // The reader that was superseded cannot cancel for the newer one.
    record->cancel(first);
    CHECK_FALSE(record->is_cancelled());
}

TEST(answers, holds_the_writer_back_at_the_bound_of_unread_bytes)
{
    constexpr std::size_t bound = 4;
    answer_record record(bound);
    std::uint64_t reader = record.attach();
    CHECK_TRUE(record.append("12345", at_once));
    CHECK_FALSE(record.append("6", at_once));
    LONGS_EQUAL(1, record.piece_count());
    LONGS_EQUAL(1, record.read(reader, at_once).pieces.size());
    CHECK_TRUE(record.append("6", at_once));
}

TEST(answers, one_read_returns_a_bounded_part)
{
    constexpr std::size_t roomy = 1U << 20U;
    constexpr std::size_t count = answer_record::most_pieces_read + 1;
    answer_record record(roomy);
    std::uint64_t reader = record.attach();
    for (std::size_t i = 0; i < count; ++i)
    {
        record.append("x", at_once);
    }
    record.finish({});
    answer_part first = record.read(reader, at_once);
    LONGS_EQUAL(answer_record::most_pieces_read, first.pieces.size());
    CHECK_FALSE(first.end.has_value());
    answer_part rest = record.read(reader, at_once);
    LONGS_EQUAL(1, rest.pieces.size());
    CHECK_TRUE(rest.end.has_value());
}

TEST(answers, wakes_a_writer_when_its_reader_is_gone)
{
    constexpr std::size_t bound = 1;
    answer_record record(bound);
    std::uint64_t reader = record.attach();
    CHECK_TRUE(record.append("x", at_once));
    bool was_added = true;
    std::thread writer([&record, &was_added]
                       { was_added = record.append("y", patience); });
    record.cancel(reader);
    writer.join();
    CHECK_FALSE(was_added);
}

TEST(answers, forgets_answers_past_their_time_and_bytes)
{
    answer_store_settings settings;
    settings.keep_time = std::chrono::seconds(60);
    settings.most_kept_bytes = 10;
    answer_store store(settings, m_clock);
    for (const char* id : {"old", "new"})
    {
        std::shared_ptr<answer_record> record =
            store.open("a", id, 1).value().record;
        record->append("12345678", patience);
        record->finish({});
        store.close("a", id, true);
    }
    CHECK_TRUE(store.open("a", "old", 1).value().is_new);
    CHECK_FALSE(store.open("a", "new", 1).value().is_new);
    m_clock.advance(std::chrono::seconds(61));
    CHECK_TRUE(store.open("a", "new", 1).value().is_new);
}

TEST(answers, bounds_the_requests_in_flight)
{
    answer_store_settings settings;
    settings.most_answers = 1;
    answer_store store(settings, m_clock);
    CHECK_TRUE(store.open("a", "1", 1).has_value());
    CHECK(store.open("a", "2", 1).failure().code == result_code::ledger_full);
    store.close("a", "1", false);
    CHECK_TRUE(store.open("a", "2", 1).has_value());
}
