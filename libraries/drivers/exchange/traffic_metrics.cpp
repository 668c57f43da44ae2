#include "libraries/drivers/exchange/traffic_metrics.hpp"

namespace turmeric::drivers
{

traffic_metrics::traffic_metrics(metrics::registry& registry)
    : responses(registry.make<metrics::counter>(
          {"turmeric_entry_answers_total",
           "Responses to callers by route and result.",
           {"route", "result"},
           512,
           {}}))
    , attempts(registry.make<metrics::counter>(
          {"turmeric_entry_sends_total",
           "Attempts to send requests to upstreams by service and result.",
           {"service", "result"},
           512,
           {}}))
    , forwards(registry.make<metrics::counter>(
          {"turmeric_entry_forwards_total",
           "Requests forwarded to peers by service and result.",
           {"service", "result"},
           256,
           {}}))
    , rate_limits(registry.make<metrics::counter>(
          {"turmeric_entry_named_limits_total",
           "Rate limits that upstreams named by service and result.",
           {"service", "result"},
           256,
           {}}))
    , cold_requests(registry.make<metrics::counter>(
          {"turmeric_entry_cold_requests_total",
           "Requests sent to upstreams that were cold, by service.",
           {"service"},
           64,
           {}}))
    , notices(registry.make<metrics::counter>(
          {"turmeric_entry_upstream_notices_total",
           "What upstreams said of themselves by service, notice and result.",
           {"service", "notice", "result"},
           512,
           {}}))
    , path_probes(registry.make<metrics::counter>(
          {"turmeric_entry_path_probes_total",
           "Connections opened to find out whether upstreams are reached.",
           {"service", "result"},
           256,
           {}}))
    , connection_closes(registry.make<metrics::counter>(
          {"turmeric_entry_connection_closes_total",
           "Callers' connections that ended, by reason and by whether a "
           "request had begun.",
           {"reason", "in_request"},
           32,
           {}}))
    , time_to_first_byte(registry.make<metrics::histogram>(
          {"turmeric_entry_first_byte_seconds",
           "From the arrival of a request to the first byte of its response.",
           {"route"},
           64,
           {}}))
    , response_duration(registry.make<metrics::histogram>(
          {"turmeric_entry_answer_seconds",
           "From the arrival of a request to the end of its response.",
           {"route"},
           64,
           {}}))
    , memory(registry.make<metrics::gauge>(
          {"turmeric_entry_memory_bytes",
           "Bytes that the traffic holds, by kind.",
           {"kind"},
           all_memory_kinds.size(),
           {}}))
    , memory_limit(registry.make<metrics::gauge>(
          {"turmeric_entry_memory_limit_bytes",
           "Limit of the bytes that the traffic may hold.",
           {},
           1,
           {}}))
    , cold_upstreams(
          registry.make<metrics::gauge>({"turmeric_entry_cold_upstreams",
                                         "Upstreams that are cold.",
                                         {},
                                         1,
                                         {}}))
    , evacuated_data_centres(registry.make<metrics::gauge>(
          {"turmeric_entry_evacuated_data_centres",
           "Data centres that operators evacuate.",
           {},
           1,
           {}}))
    , link_use(registry.make<metrics::gauge>(
          {"turmeric_entry_link_use_percent",
           "Part of the link's capacity that callers' traffic uses.",
           {"direction"},
           2,
           {}}))
    , loop_delay(registry.make<metrics::histogram>(
          {"turmeric_entry_loop_delay_seconds",
           "How much later than it was due the traffic thread ran an update.",
           {},
           1,
           {}}))
    , write_wait(registry.make<metrics::histogram>(
          {"turmeric_entry_write_wait_seconds",
           "How long bytes of responses waited until they were written.",
           {},
           1,
           {}}))
{
}

void traffic_metrics::show_memory(const memory_budget& budget)
{
    for (const memory_kind kind : all_memory_kinds)
    {
        memory.with_labels({std::string(name_of(kind))}).set(budget.used(kind));
    }
    memory_limit.with_labels({}).set(budget.limit());
}

} // namespace turmeric::drivers
