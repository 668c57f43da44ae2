#include <rapidcheck.h>

#include "libraries/domain/streaming/event_splitter.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace turmeric::domain;

namespace
{

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
    {
        text += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    return text;
}

} // namespace

TEST_GROUP(event_splitter_group){};

TEST(event_splitter_group, any_split_of_the_bytes_gives_the_same_events)
{
    CHECK(rc::check(
        "events are passed on complete and unchanged",
        []
        {
            const int last = *rc::gen::inRange(1, 12);
            const std::string text = events(1, last);
            event_splitter splitter{std::nullopt};
            std::string out;
            std::size_t at = 0;
            while (at < text.size())
            {
                const std::size_t size = std::min<std::size_t>(
                    *rc::gen::inRange<std::size_t>(1, 9), text.size() - at);
                out += splitter.feed(std::string_view(text).substr(at, size));
                at += size;
            }
            RC_ASSERT(out == text);
            RC_ASSERT(splitter.events() == last);
            RC_ASSERT(!splitter.has_partial());
        }));
}

TEST(event_splitter_group, a_resumed_stream_repeats_nothing)
{
    event_splitter splitter{std::nullopt};
    std::string out = splitter.feed(events(1, 4) + "id: 5\nda");
    CHECK(splitter.has_partial());
    splitter.drop_partial();
    LONGS_EQUAL(4, *splitter.last_id());
    // The other upstream repeats one event.
    out += splitter.feed(events(4, 7));
    STRCMP_EQUAL(events(1, 7).c_str(), out.c_str());
}

TEST(event_splitter_group,
     a_stream_resumed_by_the_caller_starts_after_its_last_event)
{
    event_splitter splitter{12};
    STRCMP_EQUAL(events(13, 14).c_str(), splitter.feed(events(12, 14)).c_str());
}
