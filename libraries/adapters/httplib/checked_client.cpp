#include "libraries/adapters/httplib/checked_client.hpp"

#include "libraries/adapters/httplib/checked_stream.hpp"

#include <chrono>

namespace turmeric::adapters
{

namespace
{

std::chrono::milliseconds duration_of(std::time_t seconds,
                                      std::time_t microseconds)
{
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::seconds(seconds) +
        std::chrono::microseconds(microseconds));
}

} // namespace

checked_client::checked_client(const std::string& host, int port)
    : httplib::ClientImpl(host, port)
{
}

ports::response_defect checked_client::defect() const
{
    return m_defect;
}

bool checked_client::process_socket(
    const Socket& socket, std::function<bool(httplib::Stream& stream)> exchange)
{
    checked_stream stream(socket.sock,
                          duration_of(read_timeout_sec_, read_timeout_usec_),
                          duration_of(write_timeout_sec_, write_timeout_usec_));
    const bool is_complete = exchange(stream);
    m_defect = stream.defect();
    return is_complete;
}

} // namespace turmeric::adapters
