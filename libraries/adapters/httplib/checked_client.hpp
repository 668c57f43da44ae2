#pragma once

#include "libraries/ports/response_defect.hpp"

#include <functional>
#include <httplib.h>
#include <string>

namespace turmeric::adapters
{

/// A client of the library that accepts only valid heads of responses: a call
/// whose response has another one fails, and its connection is closed. Interim
/// responses are dropped. Used by one thread at a time.
class checked_client final : public httplib::ClientImpl
{
public:
    /// The client connects at its first call. No precondition.
    checked_client(const std::string& host, int port);

    /// Returns what was wrong with the last response; `none` if nothing is
    /// known to be.
    [[nodiscard]] ports::response_defect defect() const;

private:
    bool process_socket(
        const Socket& socket,
        std::function<bool(httplib::Stream& stream)> exchange) override;

    ports::response_defect m_defect = ports::response_defect::none;
};

} // namespace turmeric::adapters
