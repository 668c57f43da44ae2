#include "libraries/adapters/etcd/etcd_messages.hpp"

#include "libraries/adapters/openssl/base64.hpp"

#include <charconv>
#include <limits>
#include <utility>

namespace turmeric::adapters
{

namespace
{

std::optional<std::string> read_base64_field(const json& object,
                                             const char* field)
{
    const auto text = object.find(field);
    if (text == object.end())
    {
        return std::string();
    }
    if (!text->is_string())
    {
        return std::nullopt;
    }
    return adapters::decode_base64(text->get_ref<const std::string&>());
}

ports::revision header_revision(const json& reply)
{
    const auto header = reply.find("header");
    if (header == reply.end() || !header->is_object())
    {
        return 0;
    }
    return read_int64(*header, "revision").value_or(0);
}

json make_compare(const std::string& key, ports::revision expected)
{
    return {{"key", adapters::encode_base64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(expected)}};
}

} // namespace

std::string prefix_range_end(std::string prefix)
{
    constexpr unsigned char highest_byte =
        std::numeric_limits<unsigned char>::max();
    while (!prefix.empty() &&
           static_cast<unsigned char>(prefix.back()) == highest_byte)
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        // etcd reads a single zero byte as a range without an end.
        return std::string(1, '\0');
    }
    prefix.back() =
        static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

std::optional<std::int64_t> read_int64(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end())
    {
        return 0;
    }
    if (found->is_number_integer())
    {
        return found->get<std::int64_t>();
    }
    if (!found->is_string())
    {
        return std::nullopt;
    }
    const std::string& text = found->get_ref<const std::string&>();
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return number;
}

std::optional<ports::key_value> read_etcd_entry(const json& kv)
{
    if (!kv.is_object())
    {
        return std::nullopt;
    }
    std::optional<std::string> key = read_base64_field(kv, "key");
    std::optional<std::string> value = read_base64_field(kv, "value");
    const std::optional<std::int64_t> modification_revision =
        read_int64(kv, "mod_revision");
    if (!key || !value || !modification_revision)
    {
        return std::nullopt;
    }
    return ports::key_value{std::move(*key), std::move(*value),
                            *modification_revision};
}

std::optional<ports::key_event> read_etcd_event(const json& event)
{
    const auto kv = event.find("kv");
    if (kv == event.end())
    {
        return std::nullopt;
    }
    std::optional<ports::key_value> entry = read_etcd_entry(*kv);
    if (!entry)
    {
        return std::nullopt;
    }
    // The gateway omits the type of an event that is a put.
    const bool is_deleted = event.contains("type") && event["type"] == "DELETE";
    return ports::key_event{std::move(*entry), is_deleted};
}

std::optional<ports::key_range> read_etcd_range(const json& reply)
{
    ports::key_range range;
    range.store_revision = header_revision(reply);
    if (range.store_revision <= 0)
    {
        return std::nullopt;
    }
    const auto entries = reply.find("kvs");
    if (entries == reply.end())
    {
        return range;
    }
    if (!entries->is_array())
    {
        return std::nullopt;
    }
    for (const json& kv : *entries)
    {
        std::optional<ports::key_value> entry = read_etcd_entry(kv);
        if (!entry)
        {
            return std::nullopt;
        }
        range.entries.push_back(std::move(*entry));
    }
    return range;
}

std::optional<etcd_txn_reply> read_etcd_txn(const json& reply)
{
    etcd_txn_reply txn;
    txn.store_revision = header_revision(reply);
    if (txn.store_revision <= 0)
    {
        return std::nullopt;
    }
    const auto succeeded = reply.find("succeeded");
    txn.succeeded = succeeded != reply.end() && succeeded->is_boolean() &&
                    succeeded->get<bool>();
    return txn;
}

json make_etcd_compare_and_swap(const std::string& key,
                                const std::string& value,
                                ports::revision expected, ports::lease_id lease)
{
    const json put = {{"key", adapters::encode_base64(key)},
                      {"value", adapters::encode_base64(value)},
                      {"lease", std::to_string(lease)}};
    json success = json::array();
    success.push_back({{"request_put", put}});
    json compare = json::array();
    compare.push_back(make_compare(key, expected));
    return {{"compare", compare}, {"success", success}};
}

json make_etcd_compare_and_delete(const std::string& key,
                                  ports::revision expected)
{
    const json deletion = {{"key", adapters::encode_base64(key)}};
    json success = json::array();
    success.push_back({{"request_delete_range", deletion}});
    json compare = json::array();
    compare.push_back(make_compare(key, expected));
    return {{"compare", compare}, {"success", success}};
}

json make_etcd_watch_request(const std::string& prefix, ports::revision start)
{
    const json creation = {
        {"key", adapters::encode_base64(prefix)},
        {"range_end", adapters::encode_base64(prefix_range_end(prefix))},
        {"start_revision", std::to_string(start)}};
    return {{"create_request", creation}};
}

} // namespace turmeric::adapters
