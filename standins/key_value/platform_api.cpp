#include "standins/key_value/platform_api.hpp"

#include "libraries/adapters/openssl/base64.hpp"
#include "libraries/core/json.hpp"
#include "standins/common/json_reply.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr int http_not_found = 404;
constexpr int http_gone = 410;
constexpr int http_precondition_failed = 412;
constexpr std::size_t max_page_items = 500;

std::int64_t parse_number(const std::string& text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

/// Returns the operation that reads all keys under a prefix.
range_operation make_prefix_range(const std::string& prefix)
{
    range_operation range;
    range.key = prefix.empty() ? std::string(1, '\0') : prefix;
    range.range_end = prefix.empty() ? std::string(1, '\0') : prefix;
    if (!prefix.empty())
    {
        ++range.range_end.back();
    }
    return range;
}

json entry_to_json(const stored_entry& entry)
{
    return {{"Key", entry.key},
            {"Value", adapters::encode_base64(entry.state.value)},
            {"Revision", entry.state.mod_revision},
            {"Created", entry.state.create_revision},
            {"Lease", entry.state.lease}};
}

const range_reply& range_reply_of(const transaction_reply& reply)
{
    return std::get<range_reply>(reply.replies.front());
}

/// Returns the transaction that a body describes. If a condition fails, it
/// reads the keys of all conditions.
transaction make_transaction(const json& body)
{
    transaction request;
    for (const json& row : body.value("ExpectRev", json::array()))
    {
        compare_operation compare;
        compare.key = row.value("Key", "");
        compare.number = row.value("Revision", std::int64_t{0});
        request.compares.push_back(compare);
        request.failure.push_back(range_operation{compare.key, "", 0});
    }
    for (const json& row : body.value("Puts", json::array()))
    {
        request.success.push_back(put_operation{
            row.value("Key", ""),
            adapters::decode_base64(row.value("Value", "")).value_or(""),
            row.value("Lease", std::int64_t{0})});
    }
    for (const json& key : body.value("Remove", json::array()))
    {
        request.success.push_back(delete_operation{key.get<std::string>(), ""});
    }
    return request;
}

} // namespace

platform_api::platform_api(key_value_state& state, platform_api_faults faults)
    : m_state(state)
    , m_faults(std::move(faults))
{
}

void platform_api::add_endpoint(
    const std::function<void(const std::string&, httplib::Server::Handler)>&
        register_handler,
    const char* path, bool is_write, handler handle)
{
    register_handler(path,
                     [this, is_write, handle](const httplib::Request& request,
                                              httplib::Response& reply)
                     {
                         reply.set_header("Store-Era",
                                          std::to_string(m_state.era()));
                         if (!m_faults.is_handled_by_fault(is_write, reply))
                         {
                             (this->*handle)(request, reply);
                         }
                     });
}

void platform_api::register_endpoints(httplib::Server& server)
{
    const auto get =
        [&server](const std::string& path, httplib::Server::Handler handle)
    { server.Get(path, std::move(handle)); };
    const auto post =
        [&server](const std::string& path, httplib::Server::Handler handle)
    { server.Post(path, std::move(handle)); };
    const auto remove =
        [&server](const std::string& path, httplib::Server::Handler handle)
    { server.Delete(path, std::move(handle)); };
    add_endpoint(get, "/api/kv-range", false, &platform_api::on_range);
    add_endpoint(get, "/api/kv-watch", false, &platform_api::on_watch);
    add_endpoint(post, "/api/kv-txn", true, &platform_api::on_transaction);
    add_endpoint(post, "/api/kv-lease", true, &platform_api::on_lease_grant);
    add_endpoint(post, R"(/api/kv-keep/(\d+))", false,
                 &platform_api::on_lease_keepalive);
    add_endpoint(remove, R"(/api/kv-lease-end/(\d+))", true,
                 &platform_api::on_lease_revoke);
}

void platform_api::on_range(const httplib::Request& request,
                            httplib::Response& reply)
{
    const std::string after = request.get_param_value("After");
    const transaction_reply found =
        m_state.read(make_prefix_range(request.get_param_value("Prefix")));
    json items = json::array();
    bool has_more = false;
    for (const stored_entry& entry : range_reply_of(found).entries)
    {
        if (entry.key <= after)
        {
            continue;
        }
        has_more = items.size() == max_page_items;
        if (has_more)
        {
            break;
        }
        items.push_back(entry_to_json(entry));
    }
    reply_json(reply, {{"Items", items},
                       {"MorePages", has_more},
                       {"CurrentRev", found.revision}});
}

void platform_api::on_watch(const httplib::Request& request,
                            httplib::Response& reply)
{
    const std::int64_t after = parse_number(request.get_param_value("After"));
    const std::chrono::milliseconds wait(
        parse_number(request.get_param_value("WaitMs")));
    if (m_faults.has_silent_watches())
    {
        http_server::current_connection().drop();
        return;
    }
    const watch_reply changes = m_state.wait_for_events(
        make_prefix_range(request.get_param_value("Prefix")), after + 1, wait);
    if (changes.compact_revision != 0)
    {
        reply.status = http_gone;
        return;
    }
    json events = json::array();
    for (const store_event& event : changes.events)
    {
        events.push_back(
            event.is_deleted
                ? json{{"Key", event.entry.key},
                       {"Revision", event.entry.state.mod_revision},
                       {"Deleted", true}}
                : entry_to_json(event.entry));
    }
    reply_json(reply, {{"events", events},
                       {"CurrentRev", std::max(after, changes.revision)}});
}

void platform_api::on_transaction(const httplib::Request& request,
                                  httplib::Response& reply)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        reply.status = http_not_found;
        return;
    }
    if (m_faults.drop_before_effect())
    {
        return;
    }
    const result<transaction_reply> outcome =
        m_state.run(make_transaction(body));
    if (!outcome)
    {
        reply.status = http_not_found;
        return;
    }
    if (m_faults.drop_reply_after_effect())
    {
        return;
    }
    if (outcome.value().succeeded)
    {
        reply_json(reply, {{"Revision", outcome.value().revision}});
        return;
    }
    json items = json::array();
    for (const operation_reply& condition_reply : outcome.value().replies)
    {
        for (const stored_entry& entry :
             std::get<range_reply>(condition_reply).entries)
        {
            items.push_back(entry_to_json(entry));
        }
    }
    reply_json(reply, {{"Items", items}}, http_precondition_failed);
}

void platform_api::on_lease_grant(const httplib::Request& request,
                                  httplib::Response& reply)
{
    constexpr std::int64_t milliseconds_per_second = 1'000;
    const json body = json::parse(request.body, nullptr, false);
    const std::int64_t requested_ms =
        body.is_object() ? body.value("TtlMs", std::int64_t{0}) : 0;
    // The state stores times to live in integer seconds; round up.
    const std::int64_t seconds =
        (requested_ms + milliseconds_per_second - 1) / milliseconds_per_second;
    const std::int64_t lease = m_state.grant_lease(
        0, std::chrono::seconds(std::max<std::int64_t>(1, seconds)));
    reply_json(reply, {{"Lease", lease},
                       {"TtlMs", seconds * milliseconds_per_second}});
}

void platform_api::on_lease_keepalive(const httplib::Request& request,
                                      httplib::Response& reply)
{
    const std::chrono::milliseconds time_to_live =
        m_state.renew_lease(parse_number(request.matches[1].str()));
    if (time_to_live.count() == 0)
    {
        reply.status = http_not_found;
        return;
    }
    reply_json(reply, {{"TtlMs", time_to_live.count()}});
}

void platform_api::on_lease_revoke(const httplib::Request& request,
                                   httplib::Response& reply)
{
    if (!m_state.revoke_lease(parse_number(request.matches[1].str())))
    {
        reply.status = http_not_found;
        return;
    }
    reply_json(reply, json::object());
}

} // namespace turmeric::standins
