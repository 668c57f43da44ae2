#include "libraries/codecs/move/evidence_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"
#include "libraries/codecs/move/field_reader.hpp"
#include "libraries/codecs/move/latency_limits_codec.hpp"

#include <fmt/format.h>
#include <limits>

namespace turmeric::codecs
{

namespace
{

constexpr result_code evidence_error_code = result_code::peer_protocol;

json to_json(const domain::version_tally& tally)
{
    json encoded = json::array();
    for (const domain::proportion& count : tally.counts)
    {
        encoded.push_back(count.trials);
        encoded.push_back(count.hits);
    }
    return encoded;
}

json to_json(const domain::latency_sketch& sketch)
{
    json encoded = json::array();
    for (const auto& [index, count] : sketch.buckets())
    {
        encoded.push_back(index);
        encoded.push_back(count);
    }
    return encoded;
}

json to_json(const domain::version_evidence& evidence)
{
    return {{"requests", evidence.requests},
            {"failures", evidence.failures},
            {"first_token", to_json(evidence.first_token)},
            {"worst_gap", to_json(evidence.worst_gap)}};
}

json to_json(const domain::evidence_report& report)
{
    json encoded = {{"route", report.route},
                    {"identity", report.identity},
                    {"sequence", report.sequence},
                    {"cut", report.cut_reason},
                    {"from", to_json(report.tally.from)},
                    {"to", to_json(report.tally.to)}};
    if (report.from_evidence)
    {
        encoded["from_evidence"] = to_json(*report.from_evidence);
    }
    return encoded;
}

/// Reads an array of pairs of counts. Returns an empty list and records an
/// error if an entry is not a count or the last pair is incomplete.
std::vector<std::int64_t> read_count_pairs(field_reader& reader,
                                           std::string_view name)
{
    std::vector<std::int64_t> numbers;
    for (const json& entry : reader.array(name))
    {
        if (!entry.is_number_unsigned())
        {
            reader.reject(name, "an entry is not a non-negative integer");
            return {};
        }
        numbers.push_back(entry.get<std::int64_t>());
    }
    if (numbers.size() % 2 != 0)
    {
        reader.reject(name, "the number of entries is odd");
        return {};
    }
    return numbers;
}

domain::version_tally read_tally(field_reader& reader, std::string_view name)
{
    const std::vector<std::int64_t> numbers = read_count_pairs(reader, name);
    domain::version_tally tally;
    if (numbers.size() != 2 * tally.counts.size())
    {
        reader.reject(name, "expected three pairs of counts");
        return tally;
    }
    for (std::size_t index = 0; index < tally.counts.size(); ++index)
    {
        tally.counts[index] = {numbers[2 * index], numbers[2 * index + 1]};
        if (tally.counts[index].hits > tally.counts[index].trials)
        {
            reader.reject(name, "more hits than trials");
        }
    }
    return tally;
}

domain::latency_sketch read_sketch(field_reader& reader, std::string_view name)
{
    const std::vector<std::int64_t> numbers = read_count_pairs(reader, name);
    constexpr std::int64_t max_index =
        std::numeric_limits<std::uint16_t>::max();
    domain::latency_sketch sketch;
    for (std::size_t index = 0; index + 1 < numbers.size(); index += 2)
    {
        if (numbers[index] > max_index)
        {
            reader.reject(name, "a bucket index is out of range");
            break;
        }
        sketch.add_bucket(static_cast<std::uint16_t>(numbers[index]),
                          numbers[index + 1]);
    }
    return sketch;
}

domain::version_evidence read_version_evidence(field_reader& reader,
                                               std::string_view name)
{
    field_reader inner(reader.object(name), reader.path_of(name),
                       evidence_error_code);
    domain::version_evidence evidence;
    evidence.requests = inner.integer("requests");
    evidence.failures = inner.integer("failures");
    evidence.first_token = read_sketch(inner, "first_token");
    evidence.worst_gap = read_sketch(inner, "worst_gap");
    reader.adopt_error(inner);
    return evidence;
}

domain::evidence_report read_report(field_reader& reader)
{
    domain::evidence_report report;
    report.route = reader.text("route");
    report.identity = reader.unsigned_integer("identity");
    report.sequence = reader.integer("sequence");
    report.cut_reason = reader.text("cut");
    report.tally.from = read_tally(reader, "from");
    report.tally.to = read_tally(reader, "to");
    if (reader.has("from_evidence"))
    {
        report.from_evidence = read_version_evidence(reader, "from_evidence");
    }
    return report;
}

domain::evidence_question read_question(field_reader& reader)
{
    domain::evidence_question question;
    question.route = reader.text("route");
    question.identity = reader.unsigned_integer("identity");
    if (reader.has("cut"))
    {
        question.cut_reason = reader.text("cut");
    }
    if (reader.has("limits"))
    {
        question.limits = read_latency_limits(reader, "limits");
    }
    return question;
}

/// Decodes each object of an array with `read`.
template <class Item>
std::vector<Item> read_items(field_reader& reader, std::string_view name,
                             Item (*read)(field_reader&))
{
    std::vector<Item> items;
    const json& array = reader.array(name);
    for (std::size_t index = 0; index < array.size(); ++index)
    {
        field_reader inner(array[index], fmt::format("{}[{}]", name, index),
                           evidence_error_code);
        items.push_back(read(inner));
        reader.adopt_error(inner);
    }
    return items;
}

} // namespace

std::string encode(const domain::evidence_request& request)
{
    json questions = json::array();
    for (const domain::evidence_question& question : request.questions)
    {
        json entry = {{"route", question.route},
                      {"identity", question.identity}};
        if (!question.cut_reason.empty())
        {
            entry["cut"] = question.cut_reason;
        }
        if (question.limits)
        {
            entry["limits"] = codecs::to_json(*question.limits);
        }
        questions.push_back(std::move(entry));
    }
    return json{{"fencing", request.fencing}, {"questions", questions}}.dump();
}

std::string encode(const domain::evidence_response& response)
{
    json reports = json::array();
    for (const domain::evidence_report& report : response.reports)
    {
        reports.push_back(to_json(report));
    }
    return json{{"incarnation", response.incarnation}, {"reports", reports}}
        .dump();
}

result<domain::evidence_request> decode_evidence_request(std::string_view text)
{
    result<json> parsed = parse_json(text, evidence_error_code, "evidence");
    if (!parsed)
    {
        return parsed.failure();
    }
    field_reader reader(parsed.value(), "", evidence_error_code);
    domain::evidence_request request;
    request.fencing = reader.integer("fencing");
    request.questions = read_items(reader, "questions", &read_question);
    if (reader.first_error())
    {
        return *reader.first_error();
    }
    return request;
}

result<domain::evidence_response>
decode_evidence_response(std::string_view text)
{
    result<json> parsed = parse_json(text, evidence_error_code, "evidence");
    if (!parsed)
    {
        return parsed.failure();
    }
    field_reader reader(parsed.value(), "", evidence_error_code);
    domain::evidence_response response;
    response.incarnation = reader.text("incarnation");
    response.reports = read_items(reader, "reports", &read_report);
    if (reader.first_error())
    {
        return *reader.first_error();
    }
    return response;
}

} // namespace turmeric::codecs
