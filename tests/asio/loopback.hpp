#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/adapters/asio/upstream_connection_pool.hpp"
#include "libraries/adapters/system/system_clock.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmeric::tests
{

namespace asio = adapters::asio;
using adapters::tcp;

/// Runs an event loop until a condition holds. Returns false if it does not
/// hold in time.
inline bool run_until(asio::io_context& loop,
                      const std::function<bool()>& condition)
{
    constexpr std::chrono::seconds timeout{20};
    constexpr std::chrono::milliseconds step{20};
    const auto end = std::chrono::steady_clock::now() + timeout;
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

/// Returns a loopback address on which no process listens at present.
inline std::string free_address(asio::io_context& loop)
{
    tcp::acceptor probe(loop,
                        tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

/// An upstream that sends prepared bytes as responses, in order over all
/// connections.
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

    /// The bytes to send after each blank line that is received.
    std::vector<std::string> responses;
    /// Whether to close the connection after a response, with a reset if
    /// `is_reset`.
    bool is_closing_after_response = false;
    bool is_reset = false;
    /// Whether the bytes of a response are sent one by one.
    bool are_single_bytes = false;
    /// If not empty, this is sent after a response again and again, until the
    /// peer closes the connection.
    std::string endless_bytes;
    bool is_peer_closed = false;
    std::size_t endless_bytes_sent = 0;
    int connections = 0;
    /// Those that their peers have closed.
    int closed_connections = 0;
    std::size_t requests = 0;
    std::string received;

private:
    struct peer
    {
        explicit peer(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        std::array<char, 4'096> read_block{};
        std::string unparsed;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](const boost::system::error_code& error_code,
                   tcp::socket socket)
            {
                if (error_code)
                {
                    return;
                }
                ++connections;
                read(std::make_shared<peer>(std::move(socket)));
                accept();
            });
    }

    void read(const std::shared_ptr<peer>& sender)
    {
        sender->socket.async_read_some(
            asio::buffer(sender->read_block),
            [this, sender](const boost::system::error_code& error_code,
                           std::size_t bytes)
            {
                if (error_code)
                {
                    ++closed_connections;
                    return;
                }
                received.append(sender->read_block.data(), bytes);
                sender->unparsed.append(sender->read_block.data(), bytes);
                send_responses(sender);
                if (!endless_bytes.empty())
                {
                    send_endless_bytes(sender);
                    return;
                }
                if (sender->socket.is_open())
                {
                    read(sender);
                }
            });
    }

    void send_endless_bytes(const std::shared_ptr<peer>& receiver)
    {
        asio::async_write(
            receiver->socket, asio::buffer(endless_bytes),
            [this, receiver](const boost::system::error_code& error_code,
                             std::size_t bytes)
            {
                endless_bytes_sent += bytes;
                if (error_code)
                {
                    is_peer_closed = true;
                    return;
                }
                send_endless_bytes(receiver);
            });
    }

    void send_single_bytes(const std::shared_ptr<peer>& receiver,
                           const std::shared_ptr<const std::string>& bytes,
                           std::size_t sent = 0)
    {
        if (sent == bytes->size())
        {
            return;
        }
        asio::async_write(
            receiver->socket, asio::buffer(bytes->data() + sent, 1),
            [this, receiver, bytes,
             sent](const boost::system::error_code& error_code, std::size_t)
            {
                if (!error_code)
                {
                    send_single_bytes(receiver, bytes, sent + 1);
                }
            });
    }

    void send_responses(const std::shared_ptr<peer>& receiver)
    {
        constexpr std::string_view blank = "\r\n\r\n";
        std::size_t end = receiver->unparsed.find(blank);
        while (end != std::string::npos && requests < responses.size())
        {
            receiver->unparsed.erase(0, end + blank.size());
            const std::string& response = responses.at(requests++);
            if (are_single_bytes)
            {
                send_single_bytes(
                    receiver, std::make_shared<const std::string>(response));
                return;
            }
            asio::write(receiver->socket, asio::buffer(response));
            if (is_closing_after_response)
            {
                receiver->socket.set_option(
                    asio::socket_base::linger(is_reset, 0));
                receiver->socket.close();
                return;
            }
            end = receiver->unparsed.find(blank);
        }
    }

    tcp::acceptor m_acceptor;
};

/// Records the response or the failure of a call.
class recording_listener final : public ports::call_listener
{
public:
    void on_head(const ports::response_head& head) override
    {
        status = head.status;
    }

    void on_part(std::string part) override
    {
        if (is_keeping_body)
        {
            body += part;
        }
        if (call != nullptr)
        {
            call->read_more();
        }
    }

    void on_end() override
    {
        is_complete = true;
        is_finished = true;
    }

    void on_failure(ports::transport_failure reason) override
    {
        failure = reason;
        is_finished = true;
    }

    std::shared_ptr<ports::upstream_call> call;
    int status = 0;
    std::string body;
    /// Whether the parts of the body are recorded.
    bool is_keeping_body = true;
    bool is_complete = false;
    bool is_finished = false;
    std::optional<ports::transport_failure> failure;
};

} // namespace turmeric::tests
