#pragma once

#include "libraries/adapters/asio/asio.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace turmeric::adapters
{

/// The bytes that were read from a connection and not yet parsed. Reads land
/// in a block of their own, since the parsed bytes move while a read is
/// pending. Not thread safe.
template <std::size_t Size>
class read_buffer
{
public:
    /// Returns where the next read lands. Precondition: no read is pending.
    [[nodiscard]] asio::mutable_buffer read_target()
    {
        return asio::buffer(m_read_block);
    }

    /// Keeps what a read brought. Precondition: `bytes` is at most `Size`.
    void append(std::size_t bytes)
    {
        const auto destination = m_bytes.prepare(bytes);
        std::copy_n(m_read_block.begin(), bytes,
                    static_cast<char*>(destination.data()));
        m_bytes.commit(bytes);
    }

    /// Gives the bytes to a parser and drops what it used; returns its fault.
    template <class Parser>
    boost::system::error_code feed(Parser& parser)
    {
        boost::system::error_code error_code;
        m_bytes.consume(parser.put(m_bytes.data(), error_code));
        return error_code;
    }

    /// Returns how many bytes are kept.
    [[nodiscard]] std::size_t size() const
    {
        return m_bytes.size();
    }

private:
    std::array<char, Size> m_read_block{};
    boost::beast::flat_buffer m_bytes;
};

} // namespace turmeric::adapters
