#pragma once

#include "libraries/core/json.hpp"
#include "utilities/turmeric_load/latency_histogram.hpp"
#include "utilities/turmeric_load/response_body_reader.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace turmeric::load
{

/// How a request ended after its last attempt.
enum class request_result : std::uint8_t
{
    complete,
    /// Some text was wrong, out of order or from another response.
    wrong,
    /// The response started but did not reach its end.
    truncated,
    /// The response was a refusal or reported a failure.
    refused,
    /// No connection was made, or it closed before any byte of the response.
    unreachable,
    /// No data arrived within the idle timeout.
    timed_out,
};

/// Returns the name used in the report. Thread safe.
[[nodiscard]] std::string_view name_of(request_result result);

/// The counts and latencies of a run. Not thread safe.
class load_report
{
public:
    /// Counts a failed attempt that is retried.
    void add_retry(request_result result);

    /// Counts a request that is sent again because the reused connection
    /// closed before any byte of the response.
    void add_reconnect();

    /// Counts an ended request with the tokens of its last response.
    void add_result(request_result result,
                    const response_body_reader& response);

    /// Counts the time from the request to the first text.
    void add_first_token(std::chrono::nanoseconds time);

    /// Counts the time between two pieces of text.
    void add_token_gap(std::chrono::nanoseconds time);

    /// Tells whether no response was wrong or truncated.
    [[nodiscard]] bool has_no_broken_response() const;

    /// Returns the report as JSON. `elapsed` is the duration of the run.
    [[nodiscard]] json to_json(std::chrono::nanoseconds elapsed) const;

    /// Returns the report as lines of readable text. `elapsed` is the
    /// duration of the run.
    [[nodiscard]] std::string to_text(std::chrono::nanoseconds elapsed) const;

private:
    [[nodiscard]] std::int64_t count_of(request_result result) const;

    std::map<request_result, std::int64_t> m_results;
    std::map<request_result, std::int64_t> m_retries;
    std::map<std::string, std::int64_t> m_refusals;
    latency_histogram m_first_token;
    latency_histogram m_token_gap;
    std::int64_t m_reconnects = 0;
    std::int64_t m_tokens_delivered = 0;
    std::int64_t m_tokens_in_complete_responses = 0;
    std::int64_t m_tokens_used = 0;
    std::int64_t m_tokens_billed = 0;
    std::int64_t m_complete_without_bill = 0;
    std::int64_t m_bills_differing_from_usage = 0;
};

} // namespace turmeric::load
