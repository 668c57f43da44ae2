#include "utilities/turmeric_load/load_report.hpp"

#include <fmt/core.h>

#include <array>

namespace turmeric::load
{

namespace
{

struct end_row
{
    request_end end;
    std::string_view name;
};

constexpr std::array end_table = {
    end_row{request_end::whole, "whole"},
    end_row{request_end::wrong, "wrong"},
    end_row{request_end::cut, "cut"},
    end_row{request_end::refused, "refused"},
    end_row{request_end::unreachable, "unreachable"},
    end_row{request_end::timed_out, "timed_out"},
};

struct percentile_row
{
    const char* name;
    double share;
};

constexpr std::array percentile_table = {
    percentile_row{"p50_ms", 0.50},
    percentile_row{"p95_ms", 0.95},
    percentile_row{"p99_ms", 0.99},
};

json show_latency(const latency_histogram& histogram)
{
    json shown = {{"count", histogram.count()}};
    for (const percentile_row& row : percentile_table)
    {
        shown[row.name] = std::chrono::duration<double, std::milli>(
                              histogram.percentile(row.share))
                              .count();
    }
    return shown;
}

json show_ends(const std::map<request_end, std::int64_t>& ends)
{
    json shown = json::object();
    for (const end_row& row : end_table)
    {
        const auto found = ends.find(row.end);
        shown[std::string(row.name)] =
            found == ends.end() ? std::int64_t(0) : found->second;
    }
    return shown;
}

std::string describe_failure(const told_failure& failure)
{
    return fmt::format("http {} code {} {}", failure.http_status, failure.code,
                       failure.outcome.empty() ? "-" : failure.outcome);
}

} // namespace

std::string_view name_of(request_end end)
{
    return end_table.at(static_cast<std::size_t>(end)).name;
}

void load_report::add_retry(request_end why)
{
    ++m_retries[why];
}

void load_report::add_reconnect()
{
    ++m_reconnects;
}

void load_report::add_end(request_end end, const answer_reader& answer)
{
    ++m_ends[end];
    m_tokens_delivered += answer.check().taken();
    if (end == request_end::refused && answer.failure())
    {
        ++m_refusals[describe_failure(*answer.failure())];
    }
    const std::int64_t billed = answer.billed().value_or(0);
    m_tokens_billed += billed;
    if (end != request_end::whole)
    {
        return;
    }
    m_tokens_in_whole_answers += answer.check().taken();
    m_tokens_used += answer.used();
    m_whole_without_bill += answer.billed() ? 0 : 1;
    m_bills_unlike_usage += answer.billed() && billed != answer.used() ? 1 : 0;
}

void load_report::add_first_token(std::chrono::nanoseconds time)
{
    m_first_token.add(time);
}

void load_report::add_gap(std::chrono::nanoseconds time)
{
    m_gap.add(time);
}

bool load_report::has_no_broken_answer() const
{
    return count_of(request_end::wrong) == 0 && count_of(request_end::cut) == 0;
}

json load_report::show(std::chrono::nanoseconds elapsed) const
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double rate =
        seconds > 0 ? static_cast<double>(m_tokens_delivered) / seconds : 0;
    return {{"elapsed_s", seconds},
            {"requests", show_ends(m_ends)},
            {"retries", show_ends(m_retries)},
            {"reconnects", m_reconnects},
            {"refusals", m_refusals},
            {"time_to_first_token", show_latency(m_first_token)},
            {"token_gap", show_latency(m_gap)},
            {"tokens",
             {{"delivered", m_tokens_delivered},
              {"delivered_in_whole_answers", m_tokens_in_whole_answers},
              {"used", m_tokens_used},
              {"billed", m_tokens_billed},
              {"per_second", rate}}},
            {"bills",
             {{"whole_answers_without_bill", m_whole_without_bill},
              {"unlike_usage", m_bills_unlike_usage}}},
            {"no_answer_broken", has_no_broken_answer()}};
}

std::string load_report::describe(std::chrono::nanoseconds elapsed) const
{
    const json shown = show(elapsed);
    std::string text;
    for (const auto& [name, value] : shown.items())
    {
        text += fmt::format("{:<20} {}\n", name, value.dump());
    }
    return text;
}

std::int64_t load_report::count_of(request_end end) const
{
    const auto found = m_ends.find(end);
    return found == m_ends.end() ? 0 : found->second;
}

} // namespace turmeric::load
