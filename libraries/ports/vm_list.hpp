#pragma once

#include "libraries/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace turmeric::ports
{

/// The state of a VM in the platform's list.
enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

/// One entry of the platform's VM list.
struct vm_entry
{
    /// Host and port of the process that the entry describes.
    std::string address;
    std::string vm;
    std::string data_centre;
    vm_state state = vm_state::live;
};

/// The platform's list of VMs. The list is updated with a delay.
/// Implementations are thread safe.
class vm_list
{
public:
    vm_list() = default;
    vm_list(const vm_list&) = delete;
    vm_list& operator=(const vm_list&) = delete;
    virtual ~vm_list() = default;

    /// Reads the current list from the platform. Thread safe; blocks.
    virtual result<std::vector<vm_entry>> read() = 0;
};

} // namespace turmeric::ports
