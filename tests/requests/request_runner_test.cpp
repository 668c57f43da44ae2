#include "libraries/adapters/system/system_clock.hpp"
#include "libraries/drivers/requests/request_runner.hpp"
#include "tests/requests/runner_fakes.hpp"

#include <CppUTest/TestHarness.h>

using turmeric::error;
using turmeric::outcome;
using turmeric::result_code;
using turmeric::drivers::response_buffer;
using turmeric::drivers::response_part;
using turmeric::tests::attempt_script;
using turmeric::tests::runner_fixture;

namespace
{

constexpr std::size_t large_buffer_bytes = 1U << 20U;

} // namespace

TEST_GROUP(request_runner)
{
    runner_fixture m_fixture;
    response_buffer m_buffer{large_buffer_bytes};

    std::string run(const turmeric::drivers::request_context& request)
    {
        std::uint64_t reader = m_buffer.attach_reader();
        m_fixture.run(request, m_buffer);
        response_part part =
            m_buffer.read(reader, std::chrono::milliseconds(0));
        std::string text;
        for (const std::string& piece : part.pieces)
        {
            text += piece;
        }
        return text;
    }
};

TEST(request_runner, delivers_and_bills_a_complete_response_once)
{
    m_fixture.add_attempt(attempt_script::complete(5));
    STRCMP_EQUAL("01234", run(m_fixture.make_request()).c_str());
    CHECK_FALSE(m_buffer.failure().has_value());
    LONGS_EQUAL(1, m_fixture.ledger.settled.size());
    LONGS_EQUAL(3 + 5, m_fixture.ledger.settled[0]);
}

TEST(request_runner, resumes_a_truncated_stream_at_its_offset)
{
    m_fixture.add_attempt(attempt_script::cut_after(2, 5));
    m_fixture.add_attempt(attempt_script::complete(5));
    STRCMP_EQUAL("01234", run(m_fixture.make_request()).c_str());
    STRCMP_EQUAL("2", m_fixture.upstreams.resume_offsets[1].c_str());
    LONGS_EQUAL(1, m_fixture.ledger.settled.size());
    CHECK(m_fixture.upstreams.addresses[0] != m_fixture.upstreams.addresses[1]);
}

TEST(request_runner, does_not_retry_a_call_that_may_run_at_most_once)
{
    m_fixture.add_attempt(attempt_script::cut_after(2, 5));
    turmeric::drivers::request_context request = m_fixture.make_request();
    request.is_idempotent = false;
    run(request);
    LONGS_EQUAL(1, m_fixture.upstreams.addresses.size());
    CHECK(m_buffer.failure()->effect == outcome::outcome_unknown);
    LONGS_EQUAL(0, m_fixture.ledger.settled.size());
    LONGS_EQUAL(1, m_fixture.ledger.released);
}

TEST(request_runner, dispatches_nothing_without_a_claim)
{
    m_fixture.ledger.claim_failure =
        error{result_code::claim_unresolved, "claim", "unknown",
              outcome::outcome_unknown};
    turmeric::drivers::request_context request = m_fixture.make_request();
    request.is_idempotent = false;
    run(request);
    LONGS_EQUAL(0, m_fixture.upstreams.addresses.size());
    CHECK(m_buffer.failure()->code == result_code::claim_unresolved);
}

TEST(request_runner, reports_not_run_when_no_upstream_was_reached)
{
    for (int i = 0; i < 4; ++i)
    {
        m_fixture.add_attempt(attempt_script::unreachable());
    }
    run(m_fixture.make_request());
    CHECK(m_buffer.failure()->effect == outcome::not_run);
    LONGS_EQUAL(0, m_fixture.ledger.settled.size());
    LONGS_EQUAL(1, m_fixture.ledger.released);
}

TEST(request_runner, never_reports_not_run_after_an_attempt_that_may_have_run)
{
    m_fixture.add_attempt(attempt_script::cut_after(0, 5));
    for (int i = 0; i < 3; ++i)
    {
        m_fixture.add_attempt(attempt_script::unreachable());
    }
    run(m_fixture.make_request());
    CHECK(m_buffer.failure()->effect == outcome::outcome_unknown);
}

TEST(request_runner, refuses_without_a_hold)
{
    m_fixture.ledger.acquire_failure =
        error{result_code::budget_exhausted, "budget", "empty"};
    run(m_fixture.make_request());
    CHECK(m_buffer.failure()->code == result_code::budget_exhausted);
    LONGS_EQUAL(0, m_fixture.upstreams.addresses.size());
}

TEST(request_runner, withholds_the_end_of_a_response_without_a_durable_bill)
{
    m_fixture.ledger.settle_failure =
        error{result_code::bill_undurable, "bill", "platform is unavailable"};
    m_fixture.add_attempt(attempt_script::complete(5));
    run(m_fixture.make_request());
    CHECK(m_buffer.failure()->code == result_code::bill_undurable);
    CHECK(m_buffer.failure()->effect == outcome::outcome_unknown);
}

TEST(request_runner, bills_the_part_delivered_before_the_caller_disconnects)
{
    turmeric::tests::attempt_script script = attempt_script::complete(5);
    script.cancel_after = 2;
    m_fixture.add_attempt(script);
    m_fixture.upstreams.buffer = &m_buffer;
    run(m_fixture.make_request());
    CHECK(m_buffer.failure()->code == result_code::caller_gone);
    LONGS_EQUAL(1, m_fixture.ledger.settled.size());
    LONGS_EQUAL(3 + 2, m_fixture.ledger.settled[0]);
}

TEST(request_runner, parks_a_slow_reader_and_loses_nothing)
{
    constexpr std::size_t small_buffer_bytes = 2;
    response_buffer small_buffer(small_buffer_bytes);
    std::uint64_t reader = small_buffer.attach_reader();
    m_fixture.add_attempt(attempt_script::complete(5));
    m_fixture.add_attempt(attempt_script::complete(5));
    m_fixture.add_attempt(attempt_script::complete(5));
    // The reader reads on each time that the stream is parked.
    std::string text;
    m_fixture.observer.on_parked = [&small_buffer, reader, &text]
    {
        for (const std::string& piece :
             small_buffer.read(reader, std::chrono::milliseconds(0)).pieces)
        {
            text += piece;
        }
    };
    m_fixture.run(m_fixture.make_request(), small_buffer);
    for (const std::string& piece :
         small_buffer.read(reader, std::chrono::milliseconds(0)).pieces)
    {
        text += piece;
    }
    STRCMP_EQUAL("01234", text.c_str());
    CHECK(m_fixture.upstreams.addresses.size() > 1);
    LONGS_EQUAL(1, m_fixture.ledger.settled.size());
}
