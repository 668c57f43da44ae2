#include "libraries/codecs/budget/batch_codec.hpp"

#include "libraries/codecs/common/json_reader.hpp"

#include <utility>

namespace turmeric::codecs
{

namespace
{

using domain::batch_reply;
using domain::bill_outcome;
using domain::budget_snapshot;
using domain::budget_update;
using domain::pending_bill;
using domain::router_batch;
using domain::tokens;

/// Batches are not kept by the store, but may be as large as a message between
/// routers.
constexpr std::size_t max_message_bytes = 2 << 20;
constexpr document_limits message_limits = json_limits_for(max_message_bytes);

error unreadable_message(const char* field)
{
    return error{result_code::peer_protocol, field,
                 "a field of the peer's batch message is missing or malformed",
                 outcome::outcome_unknown};
}

bool read_update(const json& row, budget_update& update)
{
    constexpr std::size_t columns = 4;
    if (!row.is_array() || row.size() != columns || !row[0].is_string() ||
        !row[1].is_array() || !row[2].is_number_integer() ||
        !row[3].is_number_integer())
    {
        return false;
    }
    update.budget = row[0].get<std::string>();
    for (const json& need : row[1])
    {
        if (!need.is_number_integer())
        {
            return false;
        }
        update.needs.push_back(need.get<tokens>());
    }
    update.returned = row[2].get<tokens>();
    update.rate = row[3].get<tokens>();
    return true;
}

bool read_bill(const json& row, pending_bill& bill)
{
    constexpr std::size_t columns = 6;
    if (!row.is_array() || row.size() != columns || !row[0].is_string() ||
        !row[1].is_number_unsigned() || !row[2].is_number_unsigned() ||
        !row[3].is_number_integer() || !row[4].is_number_integer() ||
        !row[5].is_boolean())
    {
        return false;
    }
    bill.budget = row[0].get<std::string>();
    bill.key = row[1].get<std::uint64_t>();
    bill.body_digest = row[2].get<std::uint32_t>();
    bill.used = row[3].get<tokens>();
    bill.settled_at =
        domain::sys_seconds(std::chrono::seconds(row[4].get<std::int64_t>()));
    bill.is_delivered = row[5].get<bool>();
    return true;
}

bool read_snapshot(const json& row, budget_snapshot& snapshot)
{
    constexpr std::size_t columns = 6;
    if (!row.is_array() || row.size() != columns || !row[0].is_string() ||
        !row[5].is_boolean())
    {
        return false;
    }
    for (std::size_t i = 1; i + 1 < columns; ++i)
    {
        if (!row[i].is_number_integer())
        {
            return false;
        }
    }
    snapshot.budget = row[0].get<std::string>();
    snapshot.outstanding = row[1].get<tokens>();
    snapshot.outstanding_of_others = row[2].get<tokens>();
    snapshot.pool = row[3].get<tokens>();
    snapshot.total_rate = row[4].get<tokens>();
    snapshot.is_recalled = row[5].get<bool>();
    return true;
}

bool read_bill_outcome(const json& row, bill_outcome& bill)
{
    constexpr std::size_t columns = 3;
    constexpr int last_state = static_cast<int>(domain::bill_state::expired);
    if (!row.is_array() || row.size() != columns ||
        !row[0].is_number_unsigned() || !row[1].is_number_unsigned() ||
        !row[2].is_number_integer() || row[1].get<int>() > last_state)
    {
        return false;
    }
    bill.key = row[0].get<std::uint64_t>();
    bill.state = static_cast<domain::bill_state>(row[1].get<int>());
    bill.used = row[2].get<tokens>();
    return true;
}

template <class Row>
bool read_rows(const json& value, const char* name, std::vector<Row>& rows,
               bool (*read)(const json&, Row&))
{
    if (!value.contains(name) || !value[name].is_array())
    {
        return false;
    }
    for (const json& row : value[name])
    {
        Row decoded;
        if (!read(row, decoded))
        {
            return false;
        }
        rows.push_back(std::move(decoded));
    }
    return true;
}

bool has_integer(const json& value, const char* name)
{
    return value.contains(name) && value[name].is_number_integer();
}

bool has_flag(const json& value, const char* name)
{
    return value.contains(name) && value[name].is_boolean();
}

} // namespace

std::string encode_batch(std::int32_t shard, const router_batch& batch)
{
    json updates = json::array();
    for (const budget_update& update : batch.updates)
    {
        updates.push_back(
            {update.budget, update.needs, update.returned, update.rate});
    }
    json bills = json::array();
    for (const pending_bill& bill : batch.bills)
    {
        bills.push_back({bill.budget, bill.key, bill.body_digest, bill.used,
                         bill.settled_at.time_since_epoch().count(),
                         bill.is_delivered});
    }
    json value;
    value["shard"] = shard;
    value["incarnation"] = batch.incarnation;
    value["operation"] = batch.operation;
    value["term_end"] = batch.term_end.time_since_epoch().count();
    value["is_leaving"] = batch.is_leaving;
    value["lines"] = std::move(updates);
    value["bills"] = std::move(bills);
    return value.dump();
}

result<forwarded_batch> decode_batch(std::string_view text)
{
    result<json> parsed =
        parse_json(text, result_code::peer_protocol, "batch", message_limits);
    if (!parsed)
    {
        return parsed.failure();
    }
    const json& value = parsed.value();
    if (!value.is_object() || !has_integer(value, "shard") ||
        !has_integer(value, "operation") || !has_integer(value, "term_end") ||
        !has_flag(value, "is_leaving") || !value.contains("incarnation") ||
        !value["incarnation"].is_string())
    {
        return unreadable_message("batch");
    }
    forwarded_batch decoded;
    decoded.shard = value["shard"].get<std::int32_t>();
    decoded.batch.incarnation = value["incarnation"].get<std::string>();
    decoded.batch.operation = value["operation"].get<std::int64_t>();
    decoded.batch.term_end = domain::sys_seconds(
        std::chrono::seconds(value["term_end"].get<std::int64_t>()));
    decoded.batch.is_leaving = value["is_leaving"].get<bool>();
    if (!read_rows(value, "lines", decoded.batch.updates, read_update))
    {
        return unreadable_message("lines");
    }
    if (!read_rows(value, "bills", decoded.batch.bills, read_bill))
    {
        return unreadable_message("bills");
    }
    return decoded;
}

std::string encode_batch_reply(const batch_reply& reply)
{
    json snapshots = json::array();
    for (const budget_snapshot& snapshot : reply.snapshots)
    {
        snapshots.push_back({snapshot.budget, snapshot.outstanding,
                             snapshot.outstanding_of_others, snapshot.pool,
                             snapshot.total_rate, snapshot.is_recalled});
    }
    json bills = json::array();
    for (const bill_outcome& bill : reply.bills)
    {
        bills.push_back(
            {bill.key, static_cast<unsigned>(bill.state), bill.used});
    }
    json value;
    value["state"] = static_cast<unsigned>(reply.state);
    value["is_frozen"] = reply.is_frozen;
    value["readings"] = std::move(snapshots);
    value["bills"] = std::move(bills);
    return value.dump();
}

result<batch_reply> decode_batch_reply(std::string_view text)
{
    constexpr unsigned last_state =
        static_cast<unsigned>(domain::batch_state::full);
    result<json> parsed =
        parse_json(text, result_code::peer_protocol, "reply", message_limits);
    if (!parsed)
    {
        return parsed.failure();
    }
    const json& value = parsed.value();
    if (!value.is_object() || !value.contains("state") ||
        !value["state"].is_number_unsigned() ||
        value["state"].get<unsigned>() > last_state ||
        !has_flag(value, "is_frozen"))
    {
        return unreadable_message("reply");
    }
    batch_reply reply;
    reply.state =
        static_cast<domain::batch_state>(value["state"].get<unsigned>());
    reply.is_frozen = value["is_frozen"].get<bool>();
    if (!read_rows(value, "readings", reply.snapshots, read_snapshot))
    {
        return unreadable_message("readings");
    }
    if (!read_rows(value, "bills", reply.bills, read_bill_outcome))
    {
        return unreadable_message("bills");
    }
    return reply;
}

} // namespace turmeric::codecs
