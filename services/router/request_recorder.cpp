#include "services/router/request_recorder.hpp"

namespace turmeric::router
{

request_recorder::request_recorder(metrics::registry& registry,
                                   metrics::router_metrics& shared, logger& log)
    : m_log(log)
    , m_shared(shared)
    , m_retry_counts(registry.make<metrics::counter>(
          {"turmeric_retries_total",
           "Attempts after the first one, by kind.",
           {"kind"},
           8,
           {}}))
    , m_parked_count(registry.make<metrics::counter>(
          {"turmeric_parked_streams_total",
           "Streams parked because their reader was slow.",
           {},
           1,
           {}}))
{
}

void request_recorder::on_end(const drivers::request_context& request,
                              const drivers::request_summary& summary)
{
    count(request, summary);
    log_end(request, summary);
}

void request_recorder::on_retry(const drivers::request_context& request,
                                const error& failure, std::int64_t offset)
{
    bool is_resumed = offset > 0;
    m_retry_counts.with_labels({is_resumed ? "resume" : "retry"}).add();
    m_log.write(log_level::info,
                is_resumed ? log_event::stream_resumed
                           : log_event::request_retried,
                {{"request_id", request.request_id},
                 {"code", static_cast<std::int64_t>(failure.code)},
                 {"reason", failure.detail},
                 {"offset", offset}});
}

void request_recorder::on_park(const drivers::request_context& request)
{
    m_parked_count.with_labels({}).add();
    m_log.write(log_level::info, log_event::stream_parked,
                {{"request_id", request.request_id}});
}

void request_recorder::count(const drivers::request_context& request,
                             const drivers::request_summary& summary)
{
    const std::string& route = request.route.name;
    const std::string& account = request.account.name;
    std::string code(summary.failure ? name_of(summary.failure->code) : "ok");
    m_shared.requests.with_labels({route, summary.version, account, code})
        .add();
    if (summary.timing.first_token)
    {
        m_shared.first_token.with_labels({route, summary.version, account})
            .record(*summary.timing.first_token);
    }
    if (summary.timing.worst_gap)
    {
        m_shared.token_gap.with_labels({route, summary.version, account})
            .record(*summary.timing.worst_gap);
    }
    if (summary.billed > 0)
    {
        m_shared.billed_tokens.with_labels({account, route})
            .add(static_cast<std::uint64_t>(summary.billed));
    }
}

void request_recorder::log_end(const drivers::request_context& request,
                               const drivers::request_summary& summary)
{
    std::vector<log_field> fields = {
        {"request_id", request.request_id},
        {"account", request.account.name},
        {"route", request.route.name},
        {"version", summary.version},
        {"upstream", summary.upstream},
        {"attempts", std::int64_t{summary.attempts}},
        {"tokens", summary.delivered},
        {"billed", summary.billed}};
    if (!summary.failure)
    {
        m_log.write(log_level::info, log_event::request_finished, fields);
        return;
    }
    bool has_caller_left = summary.failure->code == result_code::caller_gone;
    fields.push_back(
        {"code", static_cast<std::int64_t>(summary.failure->code)});
    fields.push_back({"reason", std::string(name_of(summary.failure->code))});
    fields.push_back({"detail", summary.failure->detail});
    fields.push_back(
        {"outcome", std::string(name_of(summary.failure->effect))});
    m_log.write(log_level::info,
                has_caller_left ? log_event::caller_gone
                                : log_event::request_refused,
                fields);
}

} // namespace turmeric::router
