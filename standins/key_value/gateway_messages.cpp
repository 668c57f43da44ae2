#include "standins/key_value/gateway_messages.hpp"

#include "libraries/adapters/etcd/etcd_messages.hpp"
#include "libraries/adapters/openssl/base64.hpp"

#include <array>
#include <optional>
#include <string>
#include <utility>

namespace turmeric::standins
{

namespace
{

struct target_row
{
    std::string_view name;
    const char* field;
    std::int64_t stored_value::*target;
};

constexpr std::array target_table = {
    target_row{"MOD", "mod_revision", &stored_value::mod_revision},
    target_row{"CREATE", "create_revision", &stored_value::create_revision},
    target_row{"VERSION", "version", &stored_value::version},
};

struct relation_row
{
    std::string_view name;
    comparison relation;
};

constexpr std::array relation_table = {
    relation_row{"EQUAL", comparison::equal},
    relation_row{"NOT_EQUAL", comparison::not_equal},
    relation_row{"GREATER", comparison::greater},
    relation_row{"LESS", comparison::less},
};

error invalid(std::string field, std::string detail)
{
    return error{result_code::invalid_field, std::move(field),
                 std::move(detail)};
}

result<std::string> read_bytes(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end())
    {
        return std::string();
    }
    std::optional<std::string> bytes =
        found->is_string()
            ? adapters::decode_base64(found->get_ref<const std::string&>())
            : std::nullopt;
    if (!bytes)
    {
        return invalid(field, "not base64");
    }
    return std::move(*bytes);
}

std::string text_of(const json& object, const char* field,
                    const char* if_absent)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : if_absent;
}

result<put_operation> read_put(const json& body)
{
    result<std::string> key = read_bytes(body, "key");
    if (!key)
    {
        return key.failure();
    }
    if (key.value().empty())
    {
        return invalid("key", "etcdserver: key is not provided");
    }
    result<std::string> value = read_bytes(body, "value");
    if (!value)
    {
        return value.failure();
    }
    const result<std::int64_t> lease = read_number(body, "lease");
    if (!lease)
    {
        return lease.failure();
    }
    return put_operation{std::move(key.value()), std::move(value.value()),
                         lease.value()};
}

result<operation> read_operation(const json& body)
{
    if (body.contains("request_range"))
    {
        const result<range_operation> range = read_range(body["request_range"]);
        return range ? result<operation>(operation(range.value()))
                     : result<operation>(range.failure());
    }
    if (body.contains("request_put"))
    {
        const result<put_operation> put = read_put(body["request_put"]);
        return put ? result<operation>(operation(put.value()))
                   : result<operation>(put.failure());
    }
    if (body.contains("request_delete_range"))
    {
        const result<range_operation> range =
            read_range(body["request_delete_range"]);
        if (!range)
        {
            return range.failure();
        }
        return operation(
            delete_operation{range.value().key, range.value().range_end});
    }
    return invalid("request", "neither a put, a range nor a deletion");
}

result<compare_operation> read_compare(const json& body)
{
    result<std::string> key = read_bytes(body, "key");
    if (!key)
    {
        return key.failure();
    }
    const std::string target = text_of(body, "target", "VERSION");
    const std::string relation = text_of(body, "result", "EQUAL");
    for (const target_row& row : target_table)
    {
        if (row.name != target)
        {
            continue;
        }
        const result<std::int64_t> number = read_number(body, row.field);
        if (!number)
        {
            return number.failure();
        }
        for (const relation_row& candidate : relation_table)
        {
            if (candidate.name == relation)
            {
                return compare_operation{std::move(key.value()), row.target,
                                         candidate.relation, number.value()};
            }
        }
        return invalid("result", "no such relation");
    }
    return invalid("target", "no such target");
}

template <class Item>
status read_items(const json& body, const char* field,
                  result<Item> (*read_item)(const json&),
                  std::vector<Item>& items)
{
    const auto found = body.find(field);
    if (found == body.end())
    {
        return success();
    }
    if (!found->is_array())
    {
        return invalid(field, "not a list");
    }
    for (const json& one : *found)
    {
        result<Item> item = read_item(one);
        if (!item)
        {
            return item.failure();
        }
        items.push_back(std::move(item.value()));
    }
    return success();
}

json show_entry(const stored_entry& entry)
{
    json shown = {{"key", adapters::encode_base64(entry.key)},
                  {"mod_revision", std::to_string(entry.state.mod_revision)}};
    if (entry.state.version > 0)
    {
        shown["create_revision"] = std::to_string(entry.state.create_revision);
        shown["version"] = std::to_string(entry.state.version);
        shown["value"] = adapters::encode_base64(entry.state.value);
    }
    if (entry.state.lease != 0)
    {
        shown["lease"] = std::to_string(entry.state.lease);
    }
    return shown;
}

json show_reply(const range_reply& reply)
{
    json shown = {{"count", std::to_string(reply.count)}};
    if (!reply.entries.empty())
    {
        shown["kvs"] = json::array();
    }
    for (const stored_entry& entry : reply.entries)
    {
        shown["kvs"].push_back(show_entry(entry));
    }
    return shown;
}

json show_reply(const put_reply&)
{
    return json::object();
}

json show_reply(const delete_reply& reply)
{
    return {{"deleted", std::to_string(reply.deleted)}};
}

constexpr std::array reply_names = {"response_range", "response_put",
                                    "response_delete_range"};

} // namespace

result<std::int64_t> read_number(const json& object, const char* field)
{
    const std::optional<std::int64_t> number =
        adapters::read_int64(object, field);
    if (!number)
    {
        return invalid(field, "not a 64-bit number");
    }
    return *number;
}

result<range_operation> read_range(const json& body)
{
    result<std::string> key = read_bytes(body, "key");
    if (!key)
    {
        return key.failure();
    }
    result<std::string> end = read_bytes(body, "range_end");
    if (!end)
    {
        return end.failure();
    }
    const result<std::int64_t> limit = read_number(body, "limit");
    if (!limit)
    {
        return limit.failure();
    }
    return range_operation{std::move(key.value()), std::move(end.value()),
                           limit.value()};
}

result<transaction> read_transaction(const json& body)
{
    transaction wanted;
    const status compares =
        read_items(body, "compare", &read_compare, wanted.compares);
    if (!compares)
    {
        return compares.failure();
    }
    const status successes =
        read_items(body, "success", &read_operation, wanted.success);
    if (!successes)
    {
        return successes.failure();
    }
    const status failures =
        read_items(body, "failure", &read_operation, wanted.failure);
    if (!failures)
    {
        return failures.failure();
    }
    return wanted;
}

json show_header(std::int64_t revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

json show_range(const transaction_reply& reply)
{
    json shown = show_reply(std::get<range_reply>(reply.replies.front()));
    shown["header"] = show_header(reply.revision);
    return shown;
}

json show_transaction(const transaction_reply& reply)
{
    json shown = {{"header", show_header(reply.revision)}};
    // The gateway leaves out what has its default.
    if (reply.succeeded)
    {
        shown["succeeded"] = true;
    }
    json replies = json::array();
    for (const operation_reply& one : reply.replies)
    {
        json inner =
            std::visit([](const auto& kind) { return show_reply(kind); }, one);
        inner["header"] = show_header(reply.revision);
        replies.push_back({{reply_names.at(one.index()), inner}});
    }
    shown["responses"] = replies;
    return shown;
}

json show_events(const watch_reply& reply)
{
    json shown = {{"header", show_header(reply.revision)}};
    if (reply.compact_revision > 0)
    {
        shown["canceled"] = true;
        shown["compact_revision"] = std::to_string(reply.compact_revision);
        return {{"result", shown}};
    }
    json events = json::array();
    for (const store_event& event : reply.events)
    {
        json one = {{"kv", show_entry(event.entry)}};
        if (event.is_deleted)
        {
            one["type"] = "DELETE";
        }
        events.push_back(one);
    }
    shown["events"] = events;
    return {{"result", shown}};
}

} // namespace turmeric::standins
