#pragma once

#include "libraries/ports/vm_list.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// Where the platform's VM list is read.
struct http_vm_list_settings
{
    /// "host:port" of the platform's list.
    std::string address;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds call_timeout{2'000};
};

/// The VM list as Prometheus HTTP service discovery. Thread safe.
///
/// Errors: `platform_unavailable`, `platform_timeout`, `corrupt_value` with
/// the field at fault.
class http_vm_list final : public ports::vm_list
{
public:
    /// No precondition. Connects on each read.
    explicit http_vm_list(http_vm_list_settings settings);

    /// Reads the list. Thread safe; blocks up to the timeouts.
    result<std::vector<ports::vm_entry>> read() override;

private:
    http_vm_list_settings m_settings;
};

/// Reads a service discovery document. Thread safe.
result<std::vector<ports::vm_entry>> parse_vm_list(const std::string& text);

} // namespace turmeric::adapters
