#pragma once

#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "services/controller/operator_result.hpp"

#include <functional>
#include <operator.pb.h>
#include <string>

namespace turmeric::controller
{

namespace v1 = turmericfront::v1;

/// A new API key, and the digest that is stored in place of the key.
struct generated_key
{
    std::string key;
    std::string digest;
};

/// Handles the operators' requests about declarations. Thread safe.
class configuration_request_handler
{
public:
    /// Called after a change was written, so that this controller reads it at
    /// once.
    using change_listener = std::function<void()>;
    /// Generates a random API key.
    using key_generator = std::function<generated_key()>;

    /// Precondition: `writer` outlives this object; the functions are thread
    /// safe.
    configuration_request_handler(drivers::configuration_writer& writer,
                                  key_generator keys,
                                  change_listener on_change);

    /// Applies declarations. Errors: `configuration_conflict`,
    /// `configuration_invalid`, those of the platform. Thread safe; blocks.
    operator_result<v1::ApplyReply> apply(const v1::ApplyRequest& request);

    /// Returns the changes that `apply` would make. Errors: as `apply`. Thread
    /// safe; blocks.
    operator_result<v1::ApplyReply> diff(const v1::ApplyRequest& request);

    /// Returns the declarations of a version. Errors: `unknown_object`.
    /// Thread safe; blocks.
    operator_result<v1::ExportReply>
    export_declarations(const v1::ExportRequest& request);

    /// Generates an API key for a client account. Errors: `unknown_object`,
    /// those of `apply`. Thread safe; blocks.
    operator_result<v1::CreateKeyReply>
    create_key(const v1::CreateKeyRequest& request);

    /// Sets the declared state of an upstream or VM to leaving, or back to
    /// serving. Errors: `unknown_object`, `invalid_field`, those of `apply`.
    /// Thread safe; blocks.
    operator_result<v1::ApplyReply> drain(const v1::DrainRequest& request);

private:
    operator_result<v1::ApplyReply>
    run(const drivers::configuration_change& change);

    drivers::configuration_writer& m_writer;
    key_generator m_generate_key;
    change_listener m_on_change;
};

} // namespace turmeric::controller
