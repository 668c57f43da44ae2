#pragma once

#include "libraries/core/json.hpp"
#include "standins/common/switches.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// Faults that the engine injects into requests.
struct request_faults
{
    /// Additional milliseconds before the first token.
    std::int64_t delay_ms = 0;
    /// Percentage of requests that fail with HTTP status 500.
    double fail_percent = 0;
    /// Factor by which prefill and tokens are slower; at least 1.
    double slow_factor = 1.0;
    /// The connection is closed after this number of tokens of a response.
    std::optional<std::int64_t> cut_after_tokens;
    /// After this number of tokens no more bytes are sent and the connection
    /// stays open.
    std::optional<std::int64_t> silent_after_tokens;
};

/// Faults of the entire engine process.
struct process_faults
{
    /// The engine generates no tokens and responds to no calls except
    /// `/faults` and `/counts`.
    bool freeze = false;
    /// `/health` responds with HTTP status 503.
    bool leaving = false;
};

/// The faults of an engine. Request faults can be set for a single version,
/// where they replace the general ones. Not thread safe.
class engine_faults
{
public:
    /// Sets the faults that `change` names. `per_version` holds an object of
    /// request faults for each version, or null to clear them. On an error,
    /// which names the field, nothing changes.
    status apply(const json& change);

    /// Returns the faults that apply to requests for `version`.
    [[nodiscard]] const request_faults&
    faults_of_version(const std::string& version) const;

    /// Returns the faults of the entire engine process.
    [[nodiscard]] const process_faults& faults_of_process() const;

    /// Returns all faults as JSON.
    [[nodiscard]] json to_json() const;

private:
    status apply_field(const std::string& name, const json& value);
    status apply_versions(const json& versions);

    request_faults m_request_faults;
    process_faults m_process_faults;
    std::map<std::string, request_faults> m_version_faults;
};

} // namespace turmeric::standins
