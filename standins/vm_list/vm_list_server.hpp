#pragma once

#include "libraries/core/json.hpp"
#include "libraries/ports/clock.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/lagged.hpp"
#include "standins/common/switches.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// The faults that the VM list can show.
struct vm_list_faults
{
    /// Connections are closed without a reply.
    bool outage = false;
    /// The next reads that are answered 503.
    std::int64_t fail = 0;
};

/// A stand-in for the platform's VM list. `start` and `shut_down` belong to
/// one thread, all else is thread safe.
class vm_list_server
{
public:
    /// Shows changes `lag` late. Precondition: `clock` outlives the server.
    vm_list_server(const ports::clock& clock, std::chrono::milliseconds lag,
                   std::size_t threads);
    ~vm_list_server();
    vm_list_server(const vm_list_server&) = delete;
    vm_list_server& operator=(const vm_list_server&) = delete;

    /// Serves on `port`, 0 for any; returns the bound port or nothing.
    std::optional<int> start(const std::string& host, int port);

    /// Closes all connections and waits for the handlers. May be called
    /// twice.
    void shut_down();

    /// Sets the true list; `invalid_field` with the place if it is none.
    status set_vms(const std::string& document);

    /// Changes the faults that `change` names.
    status set_faults(const json& change);

private:
    void handle_read(httplib::Response& reply);
    json faults_to_json();

    const ports::clock& m_clock;
    http_server m_http;
    std::mutex m_mutex;
    vm_list_faults m_faults;
    lagged<std::string> m_vm_list;
    std::int64_t m_reads = 0;
    bool m_is_running = false;
};

} // namespace turmeric::standins
