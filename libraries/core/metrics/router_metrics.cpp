#include "libraries/core/metrics/router_metrics.hpp"

namespace turmeric::metrics
{

namespace
{

constexpr std::size_t max_request_sets = 4096;
constexpr std::size_t max_histogram_sets = 512;
constexpr std::size_t max_account_sets = 2048;
constexpr std::size_t max_call_sets = 64;

} // namespace

router_metrics::router_metrics(
    registry& owner, std::vector<std::chrono::microseconds> pinned_first_token,
    std::vector<std::chrono::microseconds> pinned_token_gap)
    : requests(owner.make<counter>({requests_name,
                                    "Requests that ended, by result.",
                                    {"route", "version", "account", "code"},
                                    max_request_sets,
                                    {}}))
    , first_token(
          owner.make<histogram>({first_token_name,
                                 "Time from a request to its first token.",
                                 {"route", "version", "account"},
                                 max_histogram_sets,
                                 std::move(pinned_first_token)}))
    , token_gap(
          owner.make<histogram>({token_gap_name,
                                 "The longest gap between tokens of a request.",
                                 {"route", "version", "account"},
                                 max_histogram_sets,
                                 std::move(pinned_token_gap)}))
    , billed_tokens(owner.make<counter>({"turmeric_billed_tokens_total",
                                         "Tokens billed.",
                                         {"account", "route"},
                                         max_account_sets,
                                         {}}))
    , platform_calls(owner.make<counter>({"turmeric_platform_calls_total",
                                          "Calls to the platform's service.",
                                          {"call", "outcome"},
                                          max_call_sets,
                                          {}}))
    , start_time(owner.make<gauge>(
          {start_time_name, "When the process started.", {}, 1, {}}))
    , queue_depth(owner.make<gauge>({"turmeric_queue_depth",
                                     "Requests that wait for a place.",
                                     {},
                                     1,
                                     {}}))
    , slow_reader_bytes(
          owner.make<gauge>({"turmeric_slow_reader_bytes",
                             "Bytes buffered for callers that read slowly.",
                             {},
                             1,
                             {}}))
{
}

} // namespace turmeric::metrics
