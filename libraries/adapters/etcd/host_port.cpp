#include "libraries/adapters/etcd/host_port.hpp"

#include <charconv>

namespace turmeric::adapters
{

std::optional<host_port> parse_host_port(const std::string& text)
{
    constexpr int max_port = 65'535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return std::nullopt;
    }
    host_port address{text.substr(0, colon), 0};
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || address.port < 0 ||
        address.port > max_port)
    {
        return std::nullopt;
    }
    return address;
}

} // namespace turmeric::adapters
