#pragma once

#include "libraries/drivers/configuration/configuration_writer.hpp"
#include "services/controller/operator_result.hpp"

#include <functional>
#include <operator.pb.h>
#include <string>

namespace turmeric::controller
{

namespace v1 = turmericfront::v1;

/// A fresh key and the digest under which it is kept.
struct generated_key
{
    std::string key;
    std::string digest;
};

/// The operators' calls about declarations. Thread safe.
class configuration_request_handler
{
public:
    /// Called after a change took effect, so that it is followed at once.
    using change_listener = std::function<void()>;
    /// Makes a random key.
    using key_generator = std::function<generated_key()>;

    /// Precondition: `writer` outlives this object; the functions are thread
    /// safe.
    configuration_request_handler(drivers::configuration_writer& writer,
                                  key_generator keys,
                                  change_listener on_change);

    /// Puts declarations in force. Errors: `configuration_conflict`,
    /// `configuration_invalid`, those of the platform. Thread safe; blocks.
    operator_result<v1::ApplyReply> apply(const v1::ApplyRequest& request);

    /// Tells what `apply` would do. Errors as there. Thread safe; blocks.
    operator_result<v1::ApplyReply> diff(const v1::ApplyRequest& request);

    /// Returns the declarations of a version. Errors: `unknown_object`.
    /// Thread safe; blocks.
    operator_result<v1::ExportReply>
    export_declarations(const v1::ExportRequest& request);

    /// Makes a key for an account. Errors: `unknown_object`, those of
    /// `apply`. Thread safe; blocks.
    operator_result<v1::CreateKeyReply>
    create_key(const v1::CreateKeyRequest& request);

    /// Declares an upstream or VM to be leaving or serving. Errors:
    /// `unknown_object`, `invalid_field`, those of `apply`. Thread safe;
    /// blocks.
    operator_result<v1::ApplyReply> drain(const v1::DrainRequest& request);

private:
    operator_result<v1::ApplyReply>
    run(const drivers::configuration_change& change);

    drivers::configuration_writer& m_writer;
    key_generator m_generate_key;
    change_listener m_on_change;
};

} // namespace turmeric::controller
