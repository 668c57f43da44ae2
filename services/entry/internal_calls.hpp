#pragma once

#include "libraries/core/metrics/registry.hpp"
#include "libraries/ports/caller_channel.hpp"

#include <functional>
#include <memory>
#include <string>

namespace turmeric::entry
{

/// The path at which peers ask for the configuration document.
inline constexpr const char* configuration_path = "/peer/configuration";

/// Answers `GET /metrics` and what peers ask. Used on the control thread
/// only.
class internal_calls final : public ports::request_handler
{
public:
    /// Precondition: `registry` outlives this. `configuration_text` returns
    /// the document in force, empty when there is none.
    internal_calls(const metrics::registry& registry,
                   std::function<std::string()> configuration_text);

    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override;

private:
    const metrics::registry& m_registry;
    std::function<std::string()> m_configuration_text;
};

} // namespace turmeric::entry
