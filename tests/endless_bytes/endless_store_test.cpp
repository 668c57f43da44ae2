#include "platform/platform_store.hpp"
#include "tests/exchange/exchange_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <fmt/format.h>

using namespace turmeric;
using namespace turmeric::tests;

namespace
{

/// What the store's client takes of one response, and of the items of a range.
constexpr std::size_t max_response_bytes = 8 << 20;
constexpr std::size_t max_range_bytes = 16 << 20;
/// Where a test gives up.
constexpr std::size_t max_endless_bytes = 64 << 20;
constexpr std::size_t item_bytes = 64 << 10;

/// Returns a page of a range with one item, and another page to follow.
std::string make_page(int number)
{
    const std::string value(item_bytes, 'A');
    return fmt::format(R"({{"Items":[{{"Key":"a/{:09}","Value":"{}",)"
                       R"("Revision":4}}],"CurrentRev":9,"MorePages":true}})",
                       number, value);
}

} // namespace

TEST_GROUP(endless_store_group)
{
    fakes::manual_clock clock;
    manual_timer_queue timers{clock};
    fake_upstream_transport transport;
    platform::platform_store store{transport, timers, clock, "10.0.0.9:1"};
    std::optional<result<ports::key_range>> range;

    /// Responds to each call by one more page, until the range has failed or
    /// the pages have `max_endless_bytes`. Returns the bytes of the pages.
    std::size_t send_pages(const std::function<int(int)>& number_of)
    {
        store.list("a/", [&](result<ports::key_range> received)
                   { range = std::move(received); });
        std::size_t sent = 0;
        for (int page = 0; !range && sent < max_endless_bytes; ++page)
        {
            fake_upstream_call& call = *transport.calls.back();
            call.head(200, {});
            call.part(make_page(number_of(page)));
            call.end();
            sent += item_bytes;
        }
        return sent;
    }
};

TEST(endless_store_group, a_range_whose_pages_never_end_fails)
{
    // Values are sent in base64.
    CHECK(send_pages([](int page) { return page; }) <=
          max_range_bytes / 3 * 4 + item_bytes);
    CHECK(range->failure().code == result_code::corrupt_value);
}

TEST(endless_store_group, a_range_whose_first_page_comes_again_fails)
{
    LONGS_EQUAL(2 * item_bytes, send_pages([](int /*page*/) { return 1; }));
    CHECK(range->failure().code == result_code::corrupt_value);
}

TEST(endless_store_group, a_store_response_without_end_fails_its_call)
{
    store.list("a/", [&](result<ports::key_range> received)
               { range = std::move(received); });
    fake_upstream_call& call = *transport.calls.back();
    call.head(200, {});
    std::size_t sent = 0;
    while (!range && sent < max_endless_bytes)
    {
        call.part(std::string(item_bytes, 'x'));
        sent += item_bytes;
    }
    CHECK(sent <= max_response_bytes + item_bytes);
    CHECK(call.is_cancelled);
    CHECK(range->failure().code == result_code::platform_timeout);
}

TEST(endless_store_group, responses_without_end_of_many_calls_are_not_all_kept)
{
    // What the store's client keeps of all responses.
    constexpr std::size_t max_kept_bytes = 16 << 20;
    constexpr int calls = 16;
    int failed = 0;
    for (int number = 0; number < calls; ++number)
    {
        store.list("a/", [&](const result<ports::key_range>& received)
                   { failed += received ? 0 : 1; });
        transport.calls.back()->head(200, {});
    }
    std::size_t kept = 0;
    for (std::size_t sent = 0; sent < (4U << 20); sent += item_bytes)
    {
        for (const auto& call : transport.calls)
        {
            if (!call->is_cancelled)
            {
                call->part(std::string(item_bytes, 'x'));
            }
        }
        const auto open =
            std::count_if(transport.calls.begin(), transport.calls.end(),
                          [](const auto& call) { return !call->is_cancelled; });
        kept = static_cast<std::size_t>(open) * (sent + item_bytes);
        CHECK(kept <= max_kept_bytes);
    }
    CHECK(failed > 0 && failed < calls);
    // What the cancelled calls kept is free again.
    timers.advance(std::chrono::seconds(2));
    store.list("a/", [&](result<ports::key_range> received)
               { range = std::move(received); });
    fake_upstream_call& call = *transport.calls.back();
    call.head(200, {});
    call.part(R"({"Items":[],"CurrentRev":9})");
    call.end();
    CHECK(range->has_value());
}
