#pragma once

#include "libraries/adapters/asio/asio.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>

namespace turmeric::adapters
{

/// The input that a parser consumed of a buffer.
struct consumed_input
{
    std::int64_t bytes = 0;
    std::int64_t lines = 0;
};

/// Holds the bytes that were read from a connection and are not yet parsed.
/// `Size` is the most bytes of one read. A read fills a separate block, since
/// parsing moves the buffered bytes while a read is pending. Not thread safe.
template <std::size_t Size>
class read_buffer
{
public:
    /// Returns the memory for the next read. Precondition: no read is pending.
    [[nodiscard]] asio::mutable_buffer read_target()
    {
        return asio::buffer(m_read_block);
    }

    /// Appends the first `bytes` bytes of the block that was just read.
    /// Precondition: `bytes` is at most `Size`.
    void append(std::size_t bytes)
    {
        const auto destination = m_bytes.prepare(bytes);
        std::copy_n(m_read_block.begin(), bytes,
                    static_cast<char*>(destination.data()));
        m_bytes.commit(bytes);
    }

    /// Passes the bytes to a parser and removes those that it consumed. Returns
    /// the parser's error.
    template <class Parser>
    boost::system::error_code feed(Parser& parser)
    {
        boost::system::error_code error_code;
        m_bytes.consume(parser.put(m_bytes.data(), error_code));
        return error_code;
    }

    /// As `feed`, and adds what the parser consumed to `consumed`.
    template <class Parser>
    boost::system::error_code feed(Parser& parser, consumed_input& consumed)
    {
        boost::system::error_code error_code;
        const char* begin = static_cast<const char*>(m_bytes.data().data());
        const std::size_t bytes = parser.put(m_bytes.data(), error_code);
        consumed.bytes += static_cast<std::int64_t>(bytes);
        consumed.lines += std::count(begin, begin + bytes, '\n');
        m_bytes.consume(bytes);
        return error_code;
    }

    /// Returns the number of buffered bytes.
    [[nodiscard]] std::size_t size() const
    {
        return m_bytes.size();
    }

private:
    std::array<char, Size> m_read_block{};
    boost::beast::flat_buffer m_bytes;
};

} // namespace turmeric::adapters
