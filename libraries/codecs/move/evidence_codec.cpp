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

constexpr result_code fault_code = result_code::peer_protocol;

json to_json(const domain::version_tally& tally)
{
    json out = json::array();
    for (const domain::proportion& count : tally.counts)
    {
        out.push_back(count.trials);
        out.push_back(count.hits);
    }
    return out;
}

json to_json(const domain::latency_sketch& sketch)
{
    json out = json::array();
    for (const auto& [index, count] : sketch.buckets())
    {
        out.push_back(index);
        out.push_back(count);
    }
    return out;
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
    json out = {{"route", report.route},
                {"identity", report.identity},
                {"sequence", report.sequence},
                {"cut", report.cut_reason},
                {"from", to_json(report.tally.from)},
                {"to", to_json(report.tally.to)}};
    if (report.from_evidence)
    {
        out["from_evidence"] = to_json(*report.from_evidence);
    }
    return out;
}

/// Returns the array's entries if each is a count and they come in pairs.
std::vector<std::int64_t> pairs_field(field_reader& reader,
                                      std::string_view name)
{
    std::vector<std::int64_t> numbers;
    for (const json& entry : reader.array(name))
    {
        if (!entry.is_number_unsigned())
        {
            reader.fail(name, "an entry is not a count");
            return {};
        }
        numbers.push_back(entry.get<std::int64_t>());
    }
    if (numbers.size() % 2 != 0)
    {
        reader.fail(name, "the entries do not come in pairs");
        return {};
    }
    return numbers;
}

domain::version_tally tally_field(field_reader& reader, std::string_view name)
{
    const std::vector<std::int64_t> numbers = pairs_field(reader, name);
    domain::version_tally tally;
    if (numbers.size() != 2 * tally.counts.size())
    {
        reader.fail(name, "not three pairs of counts");
        return tally;
    }
    for (std::size_t index = 0; index < tally.counts.size(); ++index)
    {
        tally.counts[index] = {numbers[2 * index], numbers[2 * index + 1]};
        if (tally.counts[index].hits > tally.counts[index].trials)
        {
            reader.fail(name, "more hits than trials");
        }
    }
    return tally;
}

domain::latency_sketch sketch_field(field_reader& reader, std::string_view name)
{
    const std::vector<std::int64_t> numbers = pairs_field(reader, name);
    constexpr std::int64_t last = std::numeric_limits<std::uint16_t>::max();
    domain::latency_sketch sketch;
    for (std::size_t index = 0; index + 1 < numbers.size(); index += 2)
    {
        if (numbers[index] > last)
        {
            reader.fail(name, "no such bucket");
            break;
        }
        sketch.add_bucket(static_cast<std::uint16_t>(numbers[index]),
                          numbers[index + 1]);
    }
    return sketch;
}

domain::version_evidence evidence_field(field_reader& reader,
                                        std::string_view name)
{
    field_reader inner(reader.object(name), reader.path_of(name), fault_code);
    domain::version_evidence evidence;
    evidence.requests = inner.integer("requests");
    evidence.failures = inner.integer("failures");
    evidence.first_token = sketch_field(inner, "first_token");
    evidence.worst_gap = sketch_field(inner, "worst_gap");
    reader.absorb(inner);
    return evidence;
}

domain::evidence_report read_report(field_reader& reader)
{
    domain::evidence_report report;
    report.route = reader.text("route");
    report.identity = reader.unsigned_integer("identity");
    report.sequence = reader.integer("sequence");
    report.cut_reason = reader.text("cut");
    report.tally.from = tally_field(reader, "from");
    report.tally.to = tally_field(reader, "to");
    if (reader.has("from_evidence"))
    {
        report.from_evidence = evidence_field(reader, "from_evidence");
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
        question.limits = limits_field(reader, "limits");
    }
    return question;
}

/// Reads each object of an array with `read`.
template <class Item>
std::vector<Item> items_field(field_reader& reader, std::string_view name,
                              Item (*read)(field_reader&))
{
    std::vector<Item> items;
    const json& array = reader.array(name);
    for (std::size_t index = 0; index < array.size(); ++index)
    {
        field_reader inner(array[index], fmt::format("{}[{}]", name, index),
                           fault_code);
        items.push_back(read(inner));
        reader.absorb(inner);
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

std::string encode(const domain::evidence_response& answer)
{
    json reports = json::array();
    for (const domain::evidence_report& report : answer.reports)
    {
        reports.push_back(to_json(report));
    }
    return json{{"incarnation", answer.incarnation}, {"reports", reports}}
        .dump();
}

result<domain::evidence_request> decode_evidence_request(std::string_view text)
{
    result<json> parsed = parse_json(text, fault_code, "evidence");
    if (!parsed)
    {
        return parsed.failure();
    }
    field_reader reader(parsed.value(), "", fault_code);
    domain::evidence_request request;
    request.fencing = reader.integer("fencing");
    request.questions = items_field(reader, "questions", &read_question);
    if (reader.fault())
    {
        return *reader.fault();
    }
    return request;
}

result<domain::evidence_response> decode_evidence_answer(std::string_view text)
{
    result<json> parsed = parse_json(text, fault_code, "evidence");
    if (!parsed)
    {
        return parsed.failure();
    }
    field_reader reader(parsed.value(), "", fault_code);
    domain::evidence_response answer;
    answer.incarnation = reader.text("incarnation");
    answer.reports = items_field(reader, "reports", &read_report);
    if (reader.fault())
    {
        return *reader.fault();
    }
    return answer;
}

} // namespace turmeric::codecs
