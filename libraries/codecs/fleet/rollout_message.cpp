#include "libraries/codecs/fleet/rollout_message.hpp"

#include "libraries/codecs/common/cbor_reader.hpp"
#include "libraries/codecs/move/move_state_codec.hpp"
#include "libraries/core/json.hpp"

#include <array>
#include <optional>
#include <utility>

namespace turmeric::codecs
{

namespace
{

/// Tells the message from others and names the version of its format.
constexpr std::string_view message_mark = "rollouts 1";
/// Larger numbers of requests are malformed, so that the sum of all routers'
/// stays in range.
constexpr std::int64_t max_count = 1'000'000'000'000;
/// A longer time is malformed.
constexpr std::int64_t max_elapsed_ms = 1'000'000'000'000;

/// The elements of a message, in the order in which they are encoded.
enum element : std::size_t
{
    element_mark,
    element_sender,
    element_sequence,
    element_reports,
    element_count,
};

/// The elements of a report.
enum report_element : std::size_t
{
    report_service,
    report_elapsed,
    report_cut_reason,
    report_state,
    report_routes,
    report_element_count,
};

/// The properties that are sent, for the old version and then the new one.
constexpr std::array sent_properties = {
    domain::judged_property::failure,
    domain::judged_property::slow_first_token};
/// Trials and hits of each property, for both versions.
constexpr std::size_t numbers_of_property = 4;
constexpr std::size_t numbers_of_route =
    numbers_of_property * sent_properties.size();

json write_tallies(const domain::tally_pair& tallies)
{
    json numbers = json::array();
    for (const domain::version_tally* tally : {&tallies.from, &tallies.to})
    {
        for (const domain::judged_property property : sent_properties)
        {
            numbers.push_back(tally->of(property).trials);
            numbers.push_back(tally->of(property).hits);
        }
    }
    return numbers;
}

std::optional<domain::tally_pair> read_tallies(const json& numbers)
{
    if (!numbers.is_array() || numbers.size() != numbers_of_route)
    {
        return std::nullopt;
    }
    domain::tally_pair tallies;
    std::size_t next = 0;
    const auto read = [&numbers, &next]() -> std::optional<std::int64_t>
    {
        const json& number = numbers[next++];
        const bool is_valid =
            number.is_number_integer() && number >= 0 && number <= max_count;
        return is_valid ? std::optional(number.get<std::int64_t>())
                        : std::nullopt;
    };
    for (domain::version_tally* tally : {&tallies.from, &tallies.to})
    {
        for (const domain::judged_property property : sent_properties)
        {
            const std::optional<std::int64_t> trials = read();
            const std::optional<std::int64_t> hits = read();
            if (!trials || !hits || *hits > *trials)
            {
                return std::nullopt;
            }
            tally->counts[static_cast<std::size_t>(property)] = {*trials,
                                                                 *hits};
        }
    }
    return tallies;
}

json write_report(const rollout_report& report)
{
    json routes = json::object();
    for (const auto& [route, tallies] : report.seen.routes)
    {
        routes[route] = write_tallies(tallies);
    }
    return {report.service, report.elapsed.count(), report.cut_reason,
            encode(report.state), std::move(routes)};
}

std::optional<rollout_report> read_report(const json& encoded)
{
    if (!encoded.is_array() || encoded.size() != report_element_count ||
        !encoded[report_service].is_string() ||
        !encoded[report_elapsed].is_number_integer() ||
        !encoded[report_cut_reason].is_string() ||
        !encoded[report_state].is_string() ||
        !encoded[report_routes].is_object())
    {
        return std::nullopt;
    }
    const json& elapsed = encoded[report_elapsed];
    const result<domain::move_state> state =
        decode_move_state(encoded[report_state].get<std::string>());
    if (!state || elapsed < 0 || elapsed > max_elapsed_ms)
    {
        return std::nullopt;
    }
    rollout_report report;
    report.service = encoded[report_service].get<std::string>();
    report.elapsed = std::chrono::milliseconds(elapsed.get<std::int64_t>());
    report.cut_reason = encoded[report_cut_reason].get<std::string>();
    report.state = state.value();
    report.seen.identity = report.state.identity;
    for (const auto& [route, numbers] : encoded[report_routes].items())
    {
        const std::optional<domain::tally_pair> tallies = read_tallies(numbers);
        if (!tallies)
        {
            return std::nullopt;
        }
        report.seen.routes.emplace(route, *tallies);
    }
    return report;
}

} // namespace

std::string write_rollout_message(const rollout_message& message)
{
    json reports = json::array();
    for (const rollout_report& report : message.reports)
    {
        reports.push_back(write_report(report));
    }
    const json encoded = {message_mark, message.sender, message.sequence,
                          std::move(reports)};
    const std::vector<std::uint8_t> bytes = json::to_cbor(encoded);
    return std::string(bytes.begin(), bytes.end());
}

result<rollout_message> read_rollout_message(std::string_view bytes)
{
    const error unreadable{result_code::peer_protocol, "rollouts",
                           "a peer's report of moves is malformed"};
    const json encoded = read_cbor(bytes);
    if (!encoded.is_array() || encoded.size() != element_count ||
        encoded[element_mark] != message_mark ||
        !encoded[element_sender].is_string() ||
        !encoded[element_sequence].is_number_integer() ||
        !encoded[element_reports].is_array())
    {
        return unreadable;
    }
    rollout_message message;
    message.sender = encoded[element_sender].get<std::string>();
    message.sequence = encoded[element_sequence].get<std::int64_t>();
    for (const json& one : encoded[element_reports])
    {
        std::optional<rollout_report> report = read_report(one);
        if (!report)
        {
            return unreadable;
        }
        message.reports.push_back(std::move(*report));
    }
    return message;
}

} // namespace turmeric::codecs
