#pragma once

#include "libraries/core/json.hpp"
#include "libraries/ports/clock.hpp"
#include "standins/common/delayed_value.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/switches.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// The faults that the VM list can inject.
struct vm_list_faults
{
    /// Closes connections without a reply.
    bool outage = false;
    /// Number of the next reads that get a 503 response.
    std::int64_t fail = 0;
};

/// A stand-in for the platform's VM list. `start` and `shut_down` must be
/// called by one thread; all other functions are thread safe.
class vm_list_server
{
public:
    /// Readers see changes `lag` after they were made. Serves up to `threads`
    /// connections at the same time. Precondition: `clock` outlives the server.
    vm_list_server(const ports::clock& clock, std::chrono::milliseconds lag,
                   std::size_t threads);
    ~vm_list_server();
    vm_list_server(const vm_list_server&) = delete;
    vm_list_server& operator=(const vm_list_server&) = delete;

    /// Listens on `port`, or on any free port if it is 0. Returns the bound
    /// port, or nothing if listening failed.
    std::optional<int> start(const std::string& host, int port);

    /// Closes all connections and waits for the handlers. Further calls do
    /// nothing.
    void shut_down();

    /// Sets the current list, which readers see after the lag. Fails with
    /// `invalid_field`, naming the field, if `document` is not a VM list.
    /// Thread safe.
    status set_vms(const std::string& document);

    /// Sets the faults that `change` names; the others keep their values.
    /// Thread safe.
    status set_faults(const json& change);

private:
    void handle_read(httplib::Response& reply);
    json faults_to_json();

    const ports::clock& m_clock;
    http_server m_http;
    std::mutex m_mutex;
    vm_list_faults m_faults;
    delayed_value<std::string> m_vm_list;
    std::int64_t m_reads = 0;
    bool m_is_running = false;
};

} // namespace turmeric::standins
