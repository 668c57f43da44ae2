#pragma once

#include "libraries/core/metrics/registry.hpp"
#include "libraries/ports/caller_channel.hpp"

#include <functional>
#include <memory>
#include <string>

namespace turmeric::entry
{

/// The path from which peers fetch the configuration document.
inline constexpr const char* configuration_path = "/peer/configuration";

/// Handles `GET /metrics` and peers' requests for the configuration document.
/// Used on the control thread only.
class internal_request_handler final : public ports::request_handler
{
public:
    /// Precondition: `registry` outlives the handler. `configuration_text`
    /// returns the document in force, or an empty text if there is none.
    internal_request_handler(const metrics::registry& registry,
                             std::function<std::string()> configuration_text);

    std::shared_ptr<ports::exchange_in_flight>
    accept(ports::received_request request,
           std::shared_ptr<ports::caller_channel> channel) override;

private:
    const metrics::registry& m_registry;
    std::function<std::string()> m_configuration_text;
};

} // namespace turmeric::entry
