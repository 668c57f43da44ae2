#pragma once

#include <boost/beast/http/string_body.hpp>
#include <boost/optional.hpp>
#include <cstdint>

namespace turmeric::adapters
{

/// A body in a string, for parsers. It takes memory for received bytes only,
/// while `string_body` reserves the length that the head announces, which can
/// be any number.
struct growing_body
{
    using value_type = boost::beast::http::string_body::value_type;

    /// Appends the bytes of a body to its string. Not thread safe.
    class reader : public boost::beast::http::string_body::reader
    {
    public:
        using boost::beast::http::string_body::reader::reader;

        /// Begins a body. No precondition.
        void init(const boost::optional<std::uint64_t>& /*length*/,
                  boost::system::error_code& error_code)
        {
            error_code = {};
        }
    };
};

} // namespace turmeric::adapters
