#include "libraries/adapters/etcd/etcd_key_value_store.hpp"

#include "libraries/adapters/etcd/etcd_gateway_client.hpp"
#include "libraries/adapters/etcd/etcd_messages.hpp"
#include "libraries/adapters/etcd/etcd_watch_reader.hpp"
#include "libraries/adapters/openssl/base64.hpp"

#include <cassert>
#include <utility>

namespace turmeric::adapters
{

namespace
{

/// The service refuses larger values, so no call is made for them.
constexpr std::size_t max_value_bytes = 1'048'576;

error unreadable_reply_error()
{
    return error{result_code::platform_unavailable, "reply",
                 "the key-value service's reply cannot be parsed"};
}

error unreadable_write_reply_error()
{
    return error{result_code::platform_outcome_unknown, "reply",
                 "the key-value service's reply to a write cannot be parsed",
                 outcome::outcome_unknown};
}

error expired_lease_error()
{
    return error{result_code::lease_lost, "lease", "the lease has expired"};
}

} // namespace

etcd_key_value_store::etcd_key_value_store(etcd_settings settings)
    : m_gateway_client(
          std::make_unique<etcd_gateway_client>(std::move(settings)))
{
}

etcd_key_value_store::~etcd_key_value_store() = default;

result<std::optional<ports::key_value>>
etcd_key_value_store::get(const std::string& key)
{
    const json request = {{"key", adapters::encode_base64(key)}};
    result<json> reply =
        m_gateway_client->call(etcd_call_kind::read, "/v3/kv/range", request);
    if (!reply)
    {
        return reply.failure();
    }
    std::optional<ports::key_range> range = read_etcd_range(reply.value());
    if (!range)
    {
        return unreadable_reply_error();
    }
    if (range->entries.empty())
    {
        return std::optional<ports::key_value>();
    }
    return std::optional<ports::key_value>(std::move(range->entries.front()));
}

result<ports::key_range> etcd_key_value_store::list(const std::string& prefix)
{
    const json request = {
        {"key", adapters::encode_base64(prefix)},
        {"range_end", adapters::encode_base64(prefix_range_end(prefix))}};
    result<json> reply =
        m_gateway_client->call(etcd_call_kind::read, "/v3/kv/range", request);
    if (!reply)
    {
        return reply.failure();
    }
    std::optional<ports::key_range> range = read_etcd_range(reply.value());
    if (!range)
    {
        return unreadable_reply_error();
    }
    return std::move(*range);
}

result<ports::revision> etcd_key_value_store::compare_and_swap(
    const std::string& key, const std::string& value, ports::revision expected,
    ports::lease_id lease)
{
    if (value.size() > max_value_bytes)
    {
        return error{result_code::platform_value_too_large, key,
                     "the value exceeds the key-value service's size limit"};
    }
    result<json> reply = m_gateway_client->call(
        etcd_call_kind::write, "/v3/kv/txn",
        make_etcd_compare_and_swap(key, value, expected, lease));
    if (!reply)
    {
        return reply.failure();
    }
    const std::optional<etcd_txn_reply> txn = read_etcd_txn(reply.value());
    if (!txn)
    {
        return unreadable_write_reply_error();
    }
    if (!txn->succeeded)
    {
        return error{result_code::platform_conflict, key,
                     "the key was changed by another writer"};
    }
    return txn->store_revision;
}

status etcd_key_value_store::compare_and_delete(const std::string& key,
                                                ports::revision expected)
{
    result<json> reply =
        m_gateway_client->call(etcd_call_kind::write, "/v3/kv/txn",
                               make_etcd_compare_and_delete(key, expected));
    if (!reply)
    {
        return reply.failure();
    }
    const std::optional<etcd_txn_reply> txn = read_etcd_txn(reply.value());
    if (!txn)
    {
        return unreadable_write_reply_error();
    }
    if (!txn->succeeded)
    {
        return error{result_code::platform_conflict, key,
                     "the key was changed by another writer"};
    }
    return success();
}

result<ports::lease_id>
etcd_key_value_store::create_lease(std::chrono::seconds time_to_live)
{
    assert(time_to_live >= std::chrono::seconds(1));
    const json request = {{"TTL", std::to_string(time_to_live.count())},
                          {"ID", "0"}};
    result<json> reply = m_gateway_client->call(etcd_call_kind::write,
                                                "/v3/lease/grant", request);
    if (!reply)
    {
        return reply.failure();
    }
    const std::optional<std::int64_t> id = read_int64(reply.value(), "ID");
    if (!id || *id == 0)
    {
        return unreadable_write_reply_error();
    }
    return *id;
}

status etcd_key_value_store::renew_lease(ports::lease_id lease)
{
    const json request = {{"ID", std::to_string(lease)}};
    result<json> reply = m_gateway_client->call(etcd_call_kind::write,
                                                "/v3/lease/keepalive", request);
    if (!reply)
    {
        return reply.failure();
    }
    const auto keepalive_result = reply.value().find("result");
    if (keepalive_result == reply.value().end() ||
        !keepalive_result->is_object())
    {
        return unreadable_write_reply_error();
    }
    if (read_int64(*keepalive_result, "TTL").value_or(0) <= 0)
    {
        return expired_lease_error();
    }
    return success();
}

status etcd_key_value_store::revoke_lease(ports::lease_id lease)
{
    const json request = {{"ID", std::to_string(lease)}};
    result<json> reply = m_gateway_client->call(etcd_call_kind::write,
                                                "/v3/lease/revoke", request);
    if (!reply)
    {
        return reply.failure();
    }
    return success();
}

result<ports::watch_batch>
etcd_key_value_store::watch(const std::string& prefix, ports::revision start,
                            std::chrono::milliseconds wait)
{
    etcd_watch_reader reader(start, std::chrono::steady_clock::now() + wait);
    const status stream_status = m_gateway_client->stream(
        "/v3/watch", make_etcd_watch_request(prefix, start), wait,
        [&reader](std::string_view data) { return reader.consume(data); });
    if (!stream_status)
    {
        return stream_status.failure();
    }
    return reader.finish();
}

} // namespace turmeric::adapters
