#pragma once

#include "libraries/core/json.hpp"
#include "standins/common/switches.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace turmeric::standins
{

/// Faults that a request can meet.
struct request_faults
{
    /// Added before the first token.
    std::int64_t delay_ms = 0;
    /// The share of requests answered 500.
    double fail_percent = 0;
    /// Divides the speed; at least 1.
    double slow_factor = 1.0;
    /// The connection is closed after so many tokens of an answer.
    std::optional<std::int64_t> cut_after_tokens;
    /// The connection stays open without a byte after so many tokens.
    std::optional<std::int64_t> silent_after_tokens;
};

/// Faults of the whole engine.
struct process_faults
{
    /// Nothing moves: no token, no answer to any call but this switch.
    bool freeze = false;
    /// `/health` answers 503.
    bool leaving = false;
};

/// The faults of an engine, some of them for one version alone. Not thread
/// safe.
class engine_faults
{
public:
    /// Sets what `change` names; `per_version` holds an object for each
    /// version, null to clear it. A fault names the field and leaves all as
    /// it was.
    status apply(const json& change);

    /// Returns the faults that a request for `version` meets.
    [[nodiscard]] const request_faults&
    faults_of_version(const std::string& version) const;

    /// Returns the faults of the whole engine.
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
