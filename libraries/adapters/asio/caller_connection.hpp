#pragma once

#include "libraries/adapters/asio/asio.hpp"
#include "libraries/adapters/asio/caller_server.hpp"
#include "libraries/adapters/asio/http_text.hpp"
#include "libraries/adapters/asio/read_buffer.hpp"
#include "libraries/ports/caller_channel.hpp"

#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmeric::adapters
{

/// One caller's connection: reads one request after the other, and notices
/// while one is answered that the caller has closed. Used on its loop's
/// thread only.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection>
{
public:
    /// Precondition: `server` outlives the connection.
    caller_connection(caller_server& server, tcp::socket socket);

    /// Starts to read. Called once.
    void start();

private:
    friend class connection_channel;

    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_more();
    void on_read(const boost::system::error_code& fault, std::size_t bytes);
    void parse();
    void begin_message();
    void on_unreadable(const boost::system::error_code& fault);
    void on_request();
    void answer_continue();
    [[nodiscard]] bool is_framing_sound() const;
    void set_timer(std::chrono::milliseconds timeout);
    void on_timer();

    // For the channel of the present request.
    void send_response(const ports::response_head& head,
                       const std::string& body);
    void start_response(const ports::response_head& head);
    void send_part(const std::string& part, std::function<void()> written);
    void finish_response();
    void abort_response();

    void write(const std::string& bytes, std::function<void()> written);
    void on_written(const boost::system::error_code& fault);
    void end_answer();
    void refuse(int status, std::string_view reason);
    void close(bool is_reset);

    caller_server& m_server;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    read_buffer<8 << 10> m_buffer;
    std::optional<request_parser> m_parser;
    ports::steady_time m_arrived_at{};
    std::shared_ptr<ports::exchange_in_flight> m_exchange;
    std::string m_unwritten;
    std::string m_writing;
    std::function<void()> m_on_written;
    bool m_is_reading = false;
    bool m_is_answering = false;
    bool m_is_answer_ended = false;
    bool m_is_keeping = false;
    /// Whether the caller reads chunked bodies.
    bool m_is_chunkable = false;
    bool m_is_closed = false;
    bool m_has_continued = false;
    bool m_is_refused = false;
};

} // namespace turmeric::adapters
