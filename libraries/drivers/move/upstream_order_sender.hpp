#pragma once

#include "libraries/ports/order_sender.hpp"
#include "libraries/ports/upstream.hpp"

namespace turmeric::drivers
{

/// Sends orders as `POST /v1/orders` through an upstream caller. Thread safe.
class upstream_order_sender final : public ports::order_sender
{
public:
    /// Creates a sender. Precondition: `caller` outlives it.
    explicit upstream_order_sender(ports::upstream_caller& caller);

    /// See `ports::order_sender`.
    status send(const std::string& address, const ports::upstream_order& order,
                std::chrono::milliseconds timeout) override;

private:
    ports::upstream_caller& m_caller;
};

} // namespace turmeric::drivers
