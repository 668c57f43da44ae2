#include "libraries/adapters/vm_list/http_vm_list.hpp"

#include "libraries/adapters/etcd/host_port.hpp"
#include "libraries/adapters/httplib/checked_client.hpp"
#include "libraries/adapters/httplib/limited_body.hpp"
#include "libraries/codecs/common/json_reader.hpp"

#include <httplib.h>

#include <utility>

namespace turmeric::adapters
{

namespace
{

constexpr int http_ok = 200;
constexpr std::size_t max_list_bytes = 8 << 20;
constexpr codecs::document_limits list_limits =
    codecs::json_limits_for(max_list_bytes);

error corrupt_value_error(std::string field, std::string detail)
{
    return error{result_code::corrupt_value, std::move(field),
                 std::move(detail)};
}

std::string label_of(const json& group, const char* name)
{
    const auto labels = group.find("labels");
    if (labels == group.end() || !labels->is_object())
    {
        return {};
    }
    const auto label = labels->find(name);
    if (label == labels->end() || !label->is_string())
    {
        return {};
    }
    return label->get<std::string>();
}

status append_group(const json& group, std::vector<ports::vm_entry>& entries)
{
    if (!group.is_object() || !group.contains("targets") ||
        !group["targets"].is_array())
    {
        return corrupt_value_error("targets",
                                   "each group must have a list of targets");
    }
    const std::string state = label_of(group, "state");
    if (state != "live" && state != "leaving")
    {
        return corrupt_value_error("labels.state", "must be live or leaving");
    }
    ports::vm_entry entry;
    entry.vm = label_of(group, "vm");
    entry.data_centre = label_of(group, "data_centre");
    entry.state =
        state == "live" ? ports::vm_state::live : ports::vm_state::leaving;
    for (const json& target : group["targets"])
    {
        if (!target.is_string())
        {
            return corrupt_value_error(
                "targets", "each target must be a string host:port");
        }
        entry.address = target.get<std::string>();
        entries.push_back(entry);
    }
    return success();
}

} // namespace

result<std::vector<ports::vm_entry>> parse_vm_list(const std::string& text)
{
    result<json> document = codecs::parse_json(text, result_code::corrupt_value,
                                               "vms", list_limits);
    if (!document)
    {
        return document.failure();
    }
    if (!document.value().is_array())
    {
        return corrupt_value_error("vms", "the VM list must be a JSON array");
    }
    std::vector<ports::vm_entry> entries;
    for (const json& group : document.value())
    {
        const status appended = append_group(group, entries);
        if (!appended)
        {
            return appended.failure();
        }
    }
    return entries;
}

http_vm_list::http_vm_list(http_vm_list_settings settings)
    : m_settings(std::move(settings))
{
}

result<std::vector<ports::vm_entry>> http_vm_list::read()
{
    const std::optional<host_port> address =
        parse_host_port(m_settings.address);
    if (!address)
    {
        return error{result_code::bad_argument, "address", "must be host:port"};
    }
    checked_client client(address->host, address->port);
    client.set_connection_timeout(m_settings.connect_timeout);
    client.set_read_timeout(m_settings.call_timeout);
    client.set_tcp_nodelay(true);
    limited_body body(max_list_bytes);
    const httplib::Result response =
        client.Get("/vms", [&body](const char* data, std::size_t size)
                   { return body.append(data, size); });
    if (response.error() == httplib::Error::Canceled)
    {
        return corrupt_value_error("vms", "the VM list is too long");
    }
    if (!response)
    {
        const bool was_connected = response.error() == httplib::Error::Read;
        return error{was_connected ? result_code::platform_timeout
                                   : result_code::platform_unavailable,
                     "vms", "no response from the VM list service"};
    }
    if (response->status != http_ok)
    {
        return error{result_code::platform_unavailable, "vms",
                     "the VM list service responded with status " +
                         std::to_string(response->status)};
    }
    return parse_vm_list(body.text());
}

} // namespace turmeric::adapters
