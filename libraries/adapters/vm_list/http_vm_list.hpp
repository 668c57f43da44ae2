#pragma once

#include "libraries/ports/vm_list.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace turmeric::adapters
{

/// Settings for reading the platform's VM list.
struct http_vm_list_settings
{
    /// "host:port" of the platform's VM list service.
    std::string address;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds call_timeout{2'000};
};

/// Reads the VM list in the format of Prometheus HTTP service discovery. Thread
/// safe.
///
/// Errors: `platform_unavailable`, `platform_timeout`, `corrupt_value` with
/// the invalid field.
class http_vm_list final : public ports::vm_list
{
public:
    /// Does not connect; each read opens a new connection. No precondition.
    explicit http_vm_list(http_vm_list_settings settings);

    /// Reads the list. Blocks up to the timeouts. Errors as above, and
    /// `bad_argument` if the address in the settings is malformed. Thread safe.
    result<std::vector<ports::vm_entry>> read() override;

private:
    http_vm_list_settings m_settings;
};

/// Parses a service discovery document. Errors: `corrupt_value` with the
/// invalid field. Thread safe.
result<std::vector<ports::vm_entry>> parse_vm_list(const std::string& text);

} // namespace turmeric::adapters
