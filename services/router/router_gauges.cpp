#include "services/router/router_gauges.hpp"

namespace turmeric::router
{

router_gauges::router_gauges(metrics::registry& registry,
                             metrics::router_metrics& shared,
                             drivers::traffic_control& traffic,
                             drivers::response_cache& responses,
                             drivers::budget_service& budgets,
                             drivers::store_committer& committer)
    : m_traffic(traffic)
    , m_responses(responses)
    , m_budgets(budgets)
    , m_committer(committer)
    , m_queue_depth(shared.queue_depth.with_labels({}))
    , m_queue_bytes(make_gauge(registry, "turmeric_queue_bytes",
                               "Bytes of requests that wait for a slot."))
    , m_slots(make_gauge(registry, "turmeric_upstream_slots",
                         "Slots of all upstreams that this router may use."))
    , m_in_flight(make_gauge(registry, "turmeric_requests_in_flight",
                             "Requests that have not ended."))
    , m_slow_reader_bytes(shared.slow_reader_bytes.with_labels({}))
    , m_granted(make_gauge(registry, "turmeric_granted_tokens",
                           "Tokens granted to this router and not settled."))
    , m_held(make_gauge(registry, "turmeric_held_tokens",
                        "Tokens held for requests in flight."))
    , m_pending_bills(make_gauge(registry, "turmeric_pending_bills",
                                 "Bills that are not durable yet."))
    , m_configuration_version(
          make_gauge(registry, "turmeric_configuration_version",
                     "Version of the configuration in force."))
    , m_ledger_calls(registry.make<metrics::gauge>(
          {"turmeric_ledger_calls",
           "Calls to the key-value service for budgets since the start.",
           {"kind"},
           8,
           {}}))
{
}

void router_gauges::refresh()
{
    drivers::traffic_counts traffic = m_traffic.counts();
    m_queue_depth.set(static_cast<std::int64_t>(traffic.waiting));
    m_queue_bytes.set(static_cast<std::int64_t>(traffic.waiting_bytes));
    m_slots.set(traffic.total_share);
    m_in_flight.set(static_cast<std::int64_t>(m_responses.in_flight()));
    m_slow_reader_bytes.set(
        static_cast<std::int64_t>(m_responses.unread_bytes()));
    drivers::budget_counts budgets = m_budgets.counters();
    m_granted.set(budgets.ledger.granted);
    m_held.set(budgets.ledger.held);
    m_pending_bills.set(
        static_cast<std::int64_t>(budgets.ledger.pending_bills));
    drivers::committer_counts calls = m_committer.counts();
    m_ledger_calls.with_labels({"read"}).set(calls.reads);
    m_ledger_calls.with_labels({"write"}).set(calls.writes);
    m_ledger_calls.with_labels({"conflict"}).set(calls.conflicts);
}

void router_gauges::set_configuration_version(std::int64_t version)
{
    m_configuration_version.set(version);
}

metrics::gauge& router_gauges::make_gauge(metrics::registry& registry,
                                          const std::string& name,
                                          const std::string& help)
{
    return registry.make<metrics::gauge>({name, help, {}, 1, {}})
        .with_labels({});
}

} // namespace turmeric::router
