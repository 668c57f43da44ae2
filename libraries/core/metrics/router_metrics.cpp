#include "libraries/core/metrics/router_metrics.hpp"

namespace turmeric::metrics
{

namespace
{

constexpr std::size_t max_request_label_sets = 4096;
constexpr std::size_t max_histogram_label_sets = 512;
constexpr std::size_t max_account_label_sets = 2048;
constexpr std::size_t max_call_label_sets = 64;

} // namespace

router_metrics::router_metrics(
    registry& metrics_registry,
    std::vector<std::chrono::microseconds> pinned_first_token,
    std::vector<std::chrono::microseconds> pinned_token_gap)
    : requests(metrics_registry.make<counter>(
          {requests_name,
           "Requests that ended, by result.",
           {"route", "version", "account", "code"},
           max_request_label_sets,
           {}}))
    , first_token(metrics_registry.make<histogram>(
          {first_token_name,
           "Time from a request to its first token.",
           {"route", "version", "account"},
           max_histogram_label_sets,
           std::move(pinned_first_token)}))
    , token_gap(metrics_registry.make<histogram>(
          {token_gap_name,
           "The longest gap between tokens of a request.",
           {"route", "version", "account"},
           max_histogram_label_sets,
           std::move(pinned_token_gap)}))
    , billed_tokens(
          metrics_registry.make<counter>({"turmeric_billed_tokens_total",
                                          "Tokens billed.",
                                          {"account", "route"},
                                          max_account_label_sets,
                                          {}}))
    , platform_calls(
          metrics_registry.make<counter>({"turmeric_platform_calls_total",
                                          "Calls to the platform's service.",
                                          {"call", "outcome"},
                                          max_call_label_sets,
                                          {}}))
    , start_time(metrics_registry.make<gauge>(
          {start_time_name, "When the process started.", {}, 1, {}}))
    , queue_depth(
          metrics_registry.make<gauge>({"turmeric_queue_depth",
                                        "Requests that wait for a slot.",
                                        {},
                                        1,
                                        {}}))
    , slow_reader_bytes(metrics_registry.make<gauge>(
          {"turmeric_slow_reader_bytes",
           "Bytes buffered for callers that read slowly.",
           {},
           1,
           {}}))
{
}

} // namespace turmeric::metrics
