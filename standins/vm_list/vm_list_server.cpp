#include "standins/vm_list/vm_list_server.hpp"

#include "libraries/adapters/vm_list/http_vm_list.hpp"
#include "standins/common/json_reply.hpp"

#include <array>
#include <span>
#include <utility>

namespace turmeric::standins
{

namespace
{

constexpr int http_unavailable = 503;

constexpr std::array fault_table = {
    switch_field<vm_list_faults>{"outage", &vm_list_faults::outage},
    switch_field<vm_list_faults>{"fail", &vm_list_faults::fail},
};

constexpr std::span<const switch_field<vm_list_faults>> fault_fields =
    fault_table;

} // namespace

vm_list_server::vm_list_server(const ports::clock& clock,
                               std::chrono::milliseconds lag,
                               std::size_t threads)
    : m_clock(clock)
    , m_http(threads)
    , m_vm_list(lag, "[]")
{
    m_http.Get("/vms", [this](const httplib::Request&, httplib::Response& reply)
               { handle_read(reply); });
    m_http.Put("/vms",
               [this](const httplib::Request& request, httplib::Response& reply)
               {
                   const status set = set_vms(request.body);
                   if (!set)
                   {
                       reply_error(reply, set.failure());
                       return;
                   }
                   reply_json(reply, {{"accepted", true}});
               });
    m_http.Get("/counts",
               [this](const httplib::Request&, httplib::Response& reply)
               {
                   std::lock_guard<std::mutex> lock(m_mutex);
                   reply_json(reply, {{"reads", m_reads}});
               });
    register_fault_handlers(
        m_http, [this] { return faults_to_json(); },
        [this](const json& change) { return set_faults(change); });
}

vm_list_server::~vm_list_server()
{
    shut_down();
}

std::optional<int> vm_list_server::start(const std::string& host, int port)
{
    const std::optional<int> bound_port = m_http.start(host, port);
    m_is_running = bound_port.has_value();
    return bound_port;
}

void vm_list_server::shut_down()
{
    if (std::exchange(m_is_running, false))
    {
        m_http.shut_down();
    }
}

status vm_list_server::set_vms(const std::string& document)
{
    const result<std::vector<ports::vm_entry>> parsed =
        adapters::parse_vm_list(document);
    if (!parsed)
    {
        error fault = parsed.failure();
        fault.code = result_code::invalid_field;
        return fault;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    m_vm_list.record(document, m_clock.steady_now());
    return success();
}

status vm_list_server::set_faults(const json& change)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return apply_switches(fault_fields, change, m_faults);
}

json vm_list_server::faults_to_json()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return switches_to_json(fault_fields, m_faults);
}

void vm_list_server::handle_read(httplib::Response& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_reads;
    if (m_faults.outage)
    {
        http_server::current_connection().drop();
        return;
    }
    if (m_faults.fail > 0)
    {
        --m_faults.fail;
        reply_json(reply, {{"error", "unavailable"}}, http_unavailable);
        return;
    }
    reply.set_content(m_vm_list.at(m_clock.steady_now()), "application/json");
}

} // namespace turmeric::standins
