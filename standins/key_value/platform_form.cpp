#include "standins/key_value/platform_form.hpp"

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

constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int condition_failed = 412;
constexpr std::size_t page_items = 500;

std::int64_t number_of(const std::string& text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

/// Returns the operation that reads all keys under a prefix.
range_operation range_of(const std::string& prefix)
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

json show(const stored_entry& entry)
{
    return {{"Key", entry.key},
            {"Value", adapters::encode_base64(entry.state.value)},
            {"Revision", entry.state.mod_revision},
            {"Created", entry.state.create_revision},
            {"Lease", entry.state.lease}};
}

const range_reply& range_in(const transaction_reply& reply)
{
    return std::get<range_reply>(reply.replies.front());
}

/// Returns the change that a body asks for; on refusal it reads the keys of
/// the conditions.
transaction read_change(const json& body)
{
    transaction wanted;
    for (const json& row : body.value("ExpectRev", json::array()))
    {
        compare_operation compare;
        compare.key = row.value("Key", "");
        compare.number = row.value("Revision", std::int64_t{0});
        wanted.compares.push_back(compare);
        wanted.failure.push_back(range_operation{compare.key, "", 0});
    }
    for (const json& row : body.value("Puts", json::array()))
    {
        wanted.success.push_back(put_operation{
            row.value("Key", ""),
            adapters::decode_base64(row.value("Value", "")).value_or(""),
            row.value("Lease", std::int64_t{0})});
    }
    for (const json& key : body.value("Remove", json::array()))
    {
        wanted.success.push_back(delete_operation{key.get<std::string>(), ""});
    }
    return wanted;
}

} // namespace

platform_form::platform_form(key_value_state& state,
                             platform_form_faults faults)
    : m_state(state)
    , m_faults(std::move(faults))
{
}

void platform_form::add(
    const std::function<void(const std::string&, httplib::Server::Handler)>&
        verb,
    const char* path, bool is_write, handler handle)
{
    verb(path,
         [this, is_write, handle](const httplib::Request& request,
                                  httplib::Response& reply)
         {
             if (!m_faults.is_answered(is_write, reply))
             {
                 (this->*handle)(request, reply);
             }
         });
}

void platform_form::register_calls(httplib::Server& server)
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
    add(get, "/api/kv-range", false, &platform_form::on_range);
    add(get, "/api/kv-watch", false, &platform_form::on_watch);
    add(post, "/api/kv-txn", true, &platform_form::on_change);
    add(post, "/api/kv-lease", true, &platform_form::on_lease);
    add(post, R"(/api/kv-keep/(\d+))", false, &platform_form::on_keep);
    add(remove, R"(/api/kv-lease-end/(\d+))", true, &platform_form::on_end);
}

void platform_form::on_range(const httplib::Request& request,
                             httplib::Response& reply)
{
    const std::string after = request.get_param_value("After");
    const transaction_reply found =
        m_state.read(range_of(request.get_param_value("Prefix")));
    json items = json::array();
    bool has_more = false;
    for (const stored_entry& entry : range_in(found).entries)
    {
        if (entry.key <= after)
        {
            continue;
        }
        has_more = items.size() == page_items;
        if (has_more)
        {
            break;
        }
        items.push_back(show(entry));
    }
    reply_json(reply, {{"Items", items},
                       {"MorePages", has_more},
                       {"CurrentRev", found.revision}});
}

void platform_form::on_watch(const httplib::Request& request,
                             httplib::Response& reply)
{
    const std::int64_t after = number_of(request.get_param_value("After"));
    const std::chrono::milliseconds wait(
        number_of(request.get_param_value("WaitMs")));
    if (m_faults.is_silent())
    {
        http_server::current_connection().drop();
        return;
    }
    const watch_reply seen = m_state.wait_for_events(
        range_of(request.get_param_value("Prefix")), after + 1, wait);
    if (seen.compact_revision != 0)
    {
        reply.status = gone;
        return;
    }
    json events = json::array();
    for (const store_event& event : seen.events)
    {
        events.push_back(
            event.is_deleted
                ? json{{"Key", event.entry.key},
                       {"Revision", event.entry.state.mod_revision},
                       {"Deleted", true}}
                : show(event.entry));
    }
    reply_json(reply, {{"events", events},
                       {"CurrentRev", std::max(after, seen.revision)}});
}

void platform_form::on_change(const httplib::Request& request,
                              httplib::Response& reply)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        reply.status = not_found;
        return;
    }
    if (m_faults.is_lost_before())
    {
        return;
    }
    const result<transaction_reply> done = m_state.run(read_change(body));
    if (!done)
    {
        reply.status = not_found;
        return;
    }
    if (m_faults.is_lost_after())
    {
        return;
    }
    if (done.value().succeeded)
    {
        reply_json(reply, {{"Revision", done.value().revision}});
        return;
    }
    json items = json::array();
    for (const operation_reply& one : done.value().replies)
    {
        for (const stored_entry& entry : std::get<range_reply>(one).entries)
        {
            items.push_back(show(entry));
        }
    }
    reply_json(reply, {{"Items", items}}, condition_failed);
}

void platform_form::on_lease(const httplib::Request& request,
                             httplib::Response& reply)
{
    constexpr std::int64_t milliseconds_per_second = 1'000;
    const json body = json::parse(request.body, nullptr, false);
    const std::int64_t wanted =
        body.is_object() ? body.value("TtlMs", std::int64_t{0}) : 0;
    // The state keeps whole seconds.
    const std::int64_t seconds =
        (wanted + milliseconds_per_second - 1) / milliseconds_per_second;
    const std::int64_t lease = m_state.grant(
        0, std::chrono::seconds(std::max<std::int64_t>(1, seconds)));
    reply_json(reply, {{"Lease", lease},
                       {"TtlMs", seconds * milliseconds_per_second}});
}

void platform_form::on_keep(const httplib::Request& request,
                            httplib::Response& reply)
{
    const std::chrono::milliseconds left =
        m_state.keep_alive(number_of(request.matches[1].str()));
    if (left.count() == 0)
    {
        reply.status = not_found;
        return;
    }
    reply_json(reply, {{"TtlMs", left.count()}});
}

void platform_form::on_end(const httplib::Request& request,
                           httplib::Response& reply)
{
    if (!m_state.revoke(number_of(request.matches[1].str())))
    {
        reply.status = not_found;
        return;
    }
    reply_json(reply, json::object());
}

} // namespace turmeric::standins
