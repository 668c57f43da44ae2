#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::ports
{

/// The state of a VM as the platform lists it.
enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

/// One row of the platform's VM list.
struct vm_entry
{
    /// Host and port of the process that the row is about.
    std::string address;
    std::string vm;
    std::string data_centre;
    vm_state state = vm_state::live;
};

/// The platform's list of VMs, which lags behind reality. Implementations
/// are thread safe.
class vm_list
{
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    /// Reads the list as the platform knows it now. Thread safe; blocks.
    virtual result<std::vector<vm_entry>> read() = 0;
};

} // namespace turmeric::ports
