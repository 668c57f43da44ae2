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

struct compare_target
{
    std::string_view name;
    const char* field;
    std::int64_t stored_value::*target;
};

constexpr std::array compare_targets = {
    compare_target{"MOD", "mod_revision", &stored_value::mod_revision},
    compare_target{"CREATE", "create_revision", &stored_value::create_revision},
    compare_target{"VERSION", "version", &stored_value::version},
};

struct named_relation
{
    std::string_view name;
    comparison relation;
};

constexpr std::array named_relations = {
    named_relation{"EQUAL", comparison::equal},
    named_relation{"NOT_EQUAL", comparison::not_equal},
    named_relation{"GREATER", comparison::greater},
    named_relation{"LESS", comparison::less},
};

error make_field_error(std::string field, std::string detail)
{
    return error{result_code::invalid_field, std::move(field),
                 std::move(detail)};
}

result<std::string> read_base64_field(const json& object, const char* field)
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
        return make_field_error(field, "not base64");
    }
    return std::move(*bytes);
}

std::string read_text_field(const json& object, const char* field,
                            const char* default_value)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : default_value;
}

result<put_operation> parse_put(const json& body)
{
    result<std::string> key = read_base64_field(body, "key");
    if (!key)
    {
        return key.failure();
    }
    if (key.value().empty())
    {
        return make_field_error("key", "etcdserver: key is not provided");
    }
    result<std::string> value = read_base64_field(body, "value");
    if (!value)
    {
        return value.failure();
    }
    const result<std::int64_t> lease = read_int64_field(body, "lease");
    if (!lease)
    {
        return lease.failure();
    }
    return put_operation{std::move(key.value()), std::move(value.value()),
                         lease.value()};
}

result<operation> parse_operation(const json& body)
{
    if (body.contains("request_range"))
    {
        const result<range_operation> range =
            parse_range(body["request_range"]);
        return range ? result<operation>(operation(range.value()))
                     : result<operation>(range.failure());
    }
    if (body.contains("request_put"))
    {
        const result<put_operation> put = parse_put(body["request_put"]);
        return put ? result<operation>(operation(put.value()))
                   : result<operation>(put.failure());
    }
    if (body.contains("request_delete_range"))
    {
        const result<range_operation> range =
            parse_range(body["request_delete_range"]);
        if (!range)
        {
            return range.failure();
        }
        return operation(
            delete_operation{range.value().key, range.value().range_end});
    }
    return make_field_error("request", "neither a put, a range nor a deletion");
}

result<compare_operation> parse_compare(const json& body)
{
    result<std::string> key = read_base64_field(body, "key");
    if (!key)
    {
        return key.failure();
    }
    const std::string target = read_text_field(body, "target", "VERSION");
    const std::string relation = read_text_field(body, "result", "EQUAL");
    for (const compare_target& candidate_target : compare_targets)
    {
        if (candidate_target.name != target)
        {
            continue;
        }
        const result<std::int64_t> number =
            read_int64_field(body, candidate_target.field);
        if (!number)
        {
            return number.failure();
        }
        for (const named_relation& candidate_relation : named_relations)
        {
            if (candidate_relation.name == relation)
            {
                return compare_operation{
                    std::move(key.value()), candidate_target.target,
                    candidate_relation.relation, number.value()};
            }
        }
        return make_field_error("result", "no such relation");
    }
    return make_field_error("target", "no such target");
}

template <class Item>
status parse_items(const json& body, const char* field,
                   result<Item> (*parse_item)(const json&),
                   std::vector<Item>& items)
{
    const auto found = body.find(field);
    if (found == body.end())
    {
        return success();
    }
    if (!found->is_array())
    {
        return make_field_error(field, "not a list");
    }
    for (const json& element : *found)
    {
        result<Item> item = parse_item(element);
        if (!item)
        {
            return item.failure();
        }
        items.push_back(std::move(item.value()));
    }
    return success();
}

json entry_to_json(const stored_entry& entry)
{
    json document = {
        {"key", adapters::encode_base64(entry.key)},
        {"mod_revision", std::to_string(entry.state.mod_revision)}};
    if (entry.state.version > 0)
    {
        document["create_revision"] =
            std::to_string(entry.state.create_revision);
        document["version"] = std::to_string(entry.state.version);
        document["value"] = adapters::encode_base64(entry.state.value);
    }
    if (entry.state.lease != 0)
    {
        document["lease"] = std::to_string(entry.state.lease);
    }
    return document;
}

json reply_to_json(const range_reply& reply)
{
    json document = {{"count", std::to_string(reply.count)}};
    if (!reply.entries.empty())
    {
        document["kvs"] = json::array();
    }
    for (const stored_entry& entry : reply.entries)
    {
        document["kvs"].push_back(entry_to_json(entry));
    }
    return document;
}

json reply_to_json(const put_reply&)
{
    return json::object();
}

json reply_to_json(const delete_reply& reply)
{
    return {{"deleted", std::to_string(reply.deleted)}};
}

constexpr std::array reply_names = {"response_range", "response_put",
                                    "response_delete_range"};

} // namespace

result<std::int64_t> read_int64_field(const json& object, const char* field)
{
    const std::optional<std::int64_t> number =
        adapters::read_int64(object, field);
    if (!number)
    {
        return make_field_error(field, "not a 64-bit integer");
    }
    return *number;
}

result<range_operation> parse_range(const json& body)
{
    result<std::string> key = read_base64_field(body, "key");
    if (!key)
    {
        return key.failure();
    }
    result<std::string> end = read_base64_field(body, "range_end");
    if (!end)
    {
        return end.failure();
    }
    const result<std::int64_t> limit = read_int64_field(body, "limit");
    if (!limit)
    {
        return limit.failure();
    }
    return range_operation{std::move(key.value()), std::move(end.value()),
                           limit.value()};
}

result<transaction> parse_transaction(const json& body)
{
    transaction request;
    const status compares =
        parse_items(body, "compare", &parse_compare, request.compares);
    if (!compares)
    {
        return compares.failure();
    }
    const status successes =
        parse_items(body, "success", &parse_operation, request.success);
    if (!successes)
    {
        return successes.failure();
    }
    const status failures =
        parse_items(body, "failure", &parse_operation, request.failure);
    if (!failures)
    {
        return failures.failure();
    }
    return request;
}

json header_to_json(std::int64_t revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(revision)},
            {"raft_term", "1"}};
}

json range_to_json(const transaction_reply& reply)
{
    json document = reply_to_json(std::get<range_reply>(reply.replies.front()));
    document["header"] = header_to_json(reply.revision);
    return document;
}

json transaction_to_json(const transaction_reply& reply)
{
    json document = {{"header", header_to_json(reply.revision)}};
    // etcd's gateway leaves out fields that have their default value.
    if (reply.succeeded)
    {
        document["succeeded"] = true;
    }
    json replies = json::array();
    for (const operation_reply& inner_reply : reply.replies)
    {
        json inner = std::visit(
            [](const auto& kind) { return reply_to_json(kind); }, inner_reply);
        inner["header"] = header_to_json(reply.revision);
        replies.push_back({{reply_names.at(inner_reply.index()), inner}});
    }
    document["responses"] = replies;
    return document;
}

json events_to_json(const watch_reply& reply)
{
    json document = {{"header", header_to_json(reply.revision)}};
    if (reply.compact_revision > 0)
    {
        document["canceled"] = true;
        document["compact_revision"] = std::to_string(reply.compact_revision);
        return {{"result", document}};
    }
    json events = json::array();
    for (const store_event& event : reply.events)
    {
        json event_json = {{"kv", entry_to_json(event.entry)}};
        if (event.is_deleted)
        {
            event_json["type"] = "DELETE";
        }
        events.push_back(event_json);
    }
    document["events"] = events;
    return {{"result", document}};
}

} // namespace turmeric::standins
