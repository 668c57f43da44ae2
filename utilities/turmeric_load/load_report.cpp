#include "utilities/turmeric_load/load_report.hpp"

#include <fmt/core.h>

#include <array>

namespace turmeric::load
{

namespace
{

struct result_row
{
    request_result result;
    std::string_view name;
};

constexpr std::array result_table = {
    result_row{request_result::complete, "whole"},
    result_row{request_result::wrong, "wrong"},
    result_row{request_result::truncated, "cut"},
    result_row{request_result::refused, "refused"},
    result_row{request_result::unreachable, "unreachable"},
    result_row{request_result::timed_out, "timed_out"},
};

struct percentile_row
{
    const char* name;
    double fraction;
};

constexpr std::array percentile_table = {
    percentile_row{"p50_ms", 0.50},
    percentile_row{"p95_ms", 0.95},
    percentile_row{"p99_ms", 0.99},
};

json latency_json(const latency_histogram& histogram)
{
    json document = {{"count", histogram.count()}};
    for (const percentile_row& row : percentile_table)
    {
        document[row.name] = std::chrono::duration<double, std::milli>(
                                 histogram.percentile(row.fraction))
                                 .count();
    }
    return document;
}

json results_json(const std::map<request_result, std::int64_t>& results)
{
    json document = json::object();
    for (const result_row& row : result_table)
    {
        const auto found = results.find(row.result);
        document[std::string(row.name)] =
            found == results.end() ? std::int64_t(0) : found->second;
    }
    return document;
}

std::string describe_failure(const reported_failure& failure)
{
    return fmt::format("http {} code {} {}", failure.http_status, failure.code,
                       failure.outcome.empty() ? "-" : failure.outcome);
}

} // namespace

std::string_view name_of(request_result result)
{
    return result_table.at(static_cast<std::size_t>(result)).name;
}

void load_report::add_retry(request_result result)
{
    ++m_retries[result];
}

void load_report::add_reconnect()
{
    ++m_reconnects;
}

void load_report::add_result(request_result result,
                             const response_body_reader& response)
{
    ++m_results[result];
    m_tokens_delivered += response.check().received_tokens();
    if (result == request_result::refused && response.failure())
    {
        ++m_refusals[describe_failure(*response.failure())];
    }
    const std::int64_t billed_tokens = response.billed_tokens().value_or(0);
    m_tokens_billed += billed_tokens;
    if (result != request_result::complete)
    {
        return;
    }
    m_tokens_in_complete_responses += response.check().received_tokens();
    m_tokens_used += response.used_tokens();
    m_complete_without_bill += response.billed_tokens() ? 0 : 1;
    m_bills_differing_from_usage +=
        response.billed_tokens() && billed_tokens != response.used_tokens() ? 1
                                                                            : 0;
}

void load_report::add_first_token(std::chrono::nanoseconds time)
{
    m_first_token.add(time);
}

void load_report::add_token_gap(std::chrono::nanoseconds time)
{
    m_token_gap.add(time);
}

bool load_report::has_no_broken_response() const
{
    return count_of(request_result::wrong) == 0 &&
           count_of(request_result::truncated) == 0;
}

json load_report::to_json(std::chrono::nanoseconds elapsed) const
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double rate =
        seconds > 0 ? static_cast<double>(m_tokens_delivered) / seconds : 0;
    return {{"elapsed_s", seconds},
            {"requests", results_json(m_results)},
            {"retries", results_json(m_retries)},
            {"reconnects", m_reconnects},
            {"refusals", m_refusals},
            {"time_to_first_token", latency_json(m_first_token)},
            {"token_gap", latency_json(m_token_gap)},
            {"tokens",
             {{"delivered", m_tokens_delivered},
              {"delivered_in_whole_answers", m_tokens_in_complete_responses},
              {"used", m_tokens_used},
              {"billed", m_tokens_billed},
              {"per_second", rate}}},
            {"bills",
             {{"whole_answers_without_bill", m_complete_without_bill},
              {"unlike_usage", m_bills_differing_from_usage}}},
            {"no_answer_broken", has_no_broken_response()}};
}

std::string load_report::to_text(std::chrono::nanoseconds elapsed) const
{
    const json document = to_json(elapsed);
    std::string text;
    for (const auto& [name, value] : document.items())
    {
        text += fmt::format("{:<20} {}\n", name, value.dump());
    }
    return text;
}

std::int64_t load_report::count_of(request_result result) const
{
    const auto found = m_results.find(result);
    return found == m_results.end() ? 0 : found->second;
}

} // namespace turmeric::load
