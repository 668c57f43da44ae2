#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/adapters/asio/upstream_pool.hpp"
#include "libraries/adapters/system/system_clock.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::tests
{

namespace asio = adapters::asio;
using adapters::tcp;

/// Runs a loop until a condition holds; false when it never does.
inline bool run_until(asio::io_context& loop,
                      const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds patience{20};
    constexpr std::chrono::milliseconds step{20};
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        loop.restart();
        loop.run_one_for(step);
    }
    return true;
}

/// Returns an address that nobody listens on now.
inline std::string free_address(asio::io_context& loop)
{
    tcp::acceptor probe(loop,
                        tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// An upstream that answers each connection's requests with set bytes.
class scripted_upstream
{
public:
    explicit scripted_upstream(asio::io_context& loop)
        : m_acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }

    /// What is sent after each blank line that is received.
    std::vector<std::string> answers;
    /// Close after an answer; by reset if `is_reset`.
    bool closes = false;
    bool is_reset = false;
    int connections = 0;
    std::size_t requests = 0;
    std::string received;

private:
    struct peer
    {
        explicit peer(tcp::socket of)
            : socket(std::move(of))
        {
        }

        tcp::socket socket;
        std::array<char, 4'096> block{};
        std::string unread;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code& fault, tcp::socket socket)
            {
                if (fault)
                {
                    return;
                }
                ++connections;
                read(std::make_shared<peer>(std::move(socket)));
                accept();
            });
    }

    void read(const std::shared_ptr<peer>& from)
    {
        from->socket.async_read_some(
            asio::buffer(from->block),
            [this, from](const boost::system::error_code& fault,
                         std::size_t bytes)
            {
                if (fault)
                {
                    return;
                }
                received.append(from->block.data(), bytes);
                from->unread.append(from->block.data(), bytes);
                answer(*from);
                if (from->socket.is_open())
                {
                    read(from);
                }
            });
    }

    void answer(peer& to)
    {
        constexpr std::string_view blank = "\r\n\r\n";
        std::size_t end = to.unread.find(blank);
        while (end != std::string::npos && requests < answers.size())
        {
            to.unread.erase(0, end + blank.size());
            asio::write(to.socket, asio::buffer(answers.at(requests++)));
            if (closes)
            {
                to.socket.set_option(asio::socket_base::linger(is_reset, 0));
                to.socket.close();
                return;
            }
            end = to.unread.find(blank);
        }
    }

    tcp::acceptor m_acceptor;
};

/// Records what a call brought.
class recording_listener final : public ports::call_listener
{
public:
    void on_head(const ports::response_head& head) override
    {
        status = head.status;
    }

    void on_part(std::string part) override
    {
        body += part;
        if (call != nullptr)
        {
            call->read_more();
        }
    }

    void on_end() override
    {
        is_whole = true;
        is_over = true;
    }

    void on_failure(ports::transport_failure why) override
    {
        failure = why;
        is_over = true;
    }

    std::shared_ptr<ports::upstream_call> call;
    int status = 0;
    std::string body;
    bool is_whole = false;
    bool is_over = false;
    std::optional<ports::transport_failure> failure;
};

} // namespace turmeric::tests
