#pragma once

// Boost 1.74 uses std::exchange but does not include <utility>.
#include <utility>

#include <boost/asio.hpp>

namespace turmeric::adapters
{

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;

} // namespace turmeric::adapters
