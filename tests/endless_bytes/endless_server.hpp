#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "tests/endless_bytes/endless_response.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace turmeric::tests
{

/// Sends one response without end on a thread of its own, for clients that
/// block: to the first connection, until that is closed or `max_bytes` are
/// sent.
class endless_server
{
public:
    endless_server(const endless_response& response, std::size_t max_bytes)
        : m_response(response)
        , m_max_bytes(max_bytes)
        , m_acceptor(m_loop, endpoint(address::loopback(), 0))
        , m_thread([this] { serve(); })
    {
    }

    ~endless_server()
    {
        m_thread.join();
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] std::string address_text() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }

    [[nodiscard]] std::size_t sent() const
    {
        return m_sent;
    }

private:
    using endpoint = adapters::tcp::endpoint;
    using address = adapters::asio::ip::address_v4;

    void serve()
    {
        boost::system::error_code error_code;
        adapters::tcp::socket peer = m_acceptor.accept(error_code);
        std::array<char, 4'096> request{};
        peer.read_some(adapters::asio::buffer(request), error_code);
        adapters::asio::write(
            peer, adapters::asio::buffer(m_response.beginning), error_code);
        std::string block;
        while (block.size() < request.size())
        {
            block += m_response.repeated;
        }
        while (!error_code && m_sent < m_max_bytes)
        {
            m_sent += adapters::asio::write(peer, adapters::asio::buffer(block),
                                            error_code);
        }
    }

    endless_response m_response;
    std::size_t m_max_bytes;
    adapters::asio::io_context m_loop;
    adapters::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_sent = 0;
    std::thread m_thread;
};

} // namespace turmeric::tests
