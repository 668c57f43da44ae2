#include "services/controller/configuration_request_handler.hpp"

#include "libraries/adapters/protobuf/declaration_messages.hpp"
#include "libraries/codecs/configuration/configuration_codec.hpp"

#include <utility>

namespace turmeric::controller
{

namespace
{

json conflict_members(const drivers::conflicting_change& conflict)
{
    json conflicts = json::array();
    for (const domain::object_conflict& object : conflict.conflicts)
    {
        conflicts.push_back(
            {{"kind", name_of(object.kind)},
             {"name", object.name},
             {"in_force", codecs::encode_declaration(conflict.current,
                                                     object.kind, object.name)},
             {"wanted", codecs::encode_declaration(conflict.wanted, object.kind,
                                                   object.name)}});
    }
    return {{"base_version", conflict.base_version},
            {"version", conflict.current.version},
            {"conflicts", std::move(conflicts)}};
}

operator_error error_of_outcome(const drivers::conflicting_change& conflict)
{
    const domain::object_conflict& first = conflict.conflicts.front();
    return operator_error{
        error{result_code::configuration_conflict,
              std::string(name_of(first.kind)) + '/' + first.name,
              "changed since version " + std::to_string(conflict.base_version) +
                  " by another operator"},
        conflict_members(conflict)};
}

operator_error error_of_outcome(const drivers::rejected_change& rejected)
{
    json errors = json::array();
    for (const error& failure : rejected.errors)
    {
        errors.push_back(
            {{"field", failure.field}, {"detail", failure.detail}});
    }
    return operator_error{rejected.errors.front(),
                          {{"faults", std::move(errors)}}};
}

v1::ApplyReply reply_of(const drivers::accepted_change& accepted)
{
    v1::ApplyReply reply;
    reply.set_version(accepted.version);
    reply.set_is_written(accepted.is_written);
    for (const domain::object_change& change : accepted.changes)
    {
        v1::ObjectChange& row = *reply.add_changes();
        row.set_kind(std::string(name_of(change.kind)));
        row.set_name(change.name);
        row.set_change(std::string(name_of(change.change)));
    }
    return reply;
}

operator_error unknown_object(const std::string& field, const std::string& name)
{
    return make_operator_error(
        error{result_code::unknown_object, field,
              "no object is declared with the name \"" + name + '"'});
}

result<drivers::configuration_change>
read_change(const v1::ApplyRequest& request)
{
    result<domain::declaration_set> declared =
        adapters::read_declarations(request.declarations());
    if (!declared)
    {
        return declared.failure();
    }
    if (request.base_version() < 0)
    {
        return error{result_code::invalid_field, "base_version",
                     "expected 0 or a version"};
    }
    declared.value().is_complete = request.is_complete();
    return drivers::configuration_change{
        std::move(declared.value()), request.base_version(),
        request.operation(), request.dry_run()};
}

} // namespace

configuration_request_handler::configuration_request_handler(
    drivers::configuration_writer& writer, key_generator keys,
    change_listener on_change)
    : m_writer(writer)
    , m_generate_key(std::move(keys))
    , m_on_change(std::move(on_change))
{
}

operator_result<v1::ApplyReply>
configuration_request_handler::apply(const v1::ApplyRequest& request)
{
    result<drivers::configuration_change> change = read_change(request);
    if (!change)
    {
        return make_operator_error(change.failure());
    }
    return run(change.value());
}

operator_result<v1::ApplyReply>
configuration_request_handler::diff(const v1::ApplyRequest& request)
{
    result<drivers::configuration_change> change = read_change(request);
    if (!change)
    {
        return make_operator_error(change.failure());
    }
    change.value().is_dry_run = true;
    return run(change.value());
}

operator_result<v1::ExportReply>
configuration_request_handler::export_declarations(
    const v1::ExportRequest& request)
{
    result<domain::configuration> read = m_writer.read(request.version());
    if (!read)
    {
        return make_operator_error(read.failure());
    }
    v1::ExportReply reply;
    reply.set_version(read.value().version);
    adapters::write_declarations(read.value(), *reply.mutable_declarations());
    return reply;
}

operator_result<v1::CreateKeyReply>
configuration_request_handler::create_key(const v1::CreateKeyRequest& request)
{
    result<domain::configuration> current = m_writer.read(0);
    if (!current)
    {
        return make_operator_error(current.failure());
    }
    const domain::account_declaration* account =
        domain::find_account(current.value(), request.account());
    if (account == nullptr)
    {
        return unknown_object("account", request.account());
    }
    generated_key key = m_generate_key();
    drivers::configuration_change change;
    change.base_version = current.value().version;
    change.declared.objects.accounts.push_back(*account);
    change.declared.objects.accounts.back().key_digests.push_back(key.digest);
    operator_result<v1::ApplyReply> applied = run(change);
    if (std::holds_alternative<operator_error>(applied))
    {
        return std::get<operator_error>(applied);
    }
    v1::CreateKeyReply reply;
    reply.set_key(std::move(key.key));
    reply.set_key_digest(std::move(key.digest));
    reply.set_version(std::get<v1::ApplyReply>(applied).version());
    return reply;
}

operator_result<v1::ApplyReply>
configuration_request_handler::drain(const v1::DrainRequest& request)
{
    const domain::upstream_state state = request.is_undone()
                                             ? domain::upstream_state::serving
                                             : domain::upstream_state::leaving;
    drivers::configuration_change change;
    if (request.has_vm())
    {
        change.declared.objects.vms.push_back({request.vm(), state});
        return run(change);
    }
    if (!request.has_upstream())
    {
        return make_operator_error(
            error{result_code::invalid_field, "upstream",
                  "expected the name of an upstream or VM"});
    }
    result<domain::configuration> current = m_writer.read(0);
    if (!current)
    {
        return make_operator_error(current.failure());
    }
    change.base_version = current.value().version;
    for (const domain::upstream_declaration& upstream :
         current.value().upstreams)
    {
        if (upstream.name == request.upstream())
        {
            change.declared.objects.upstreams.push_back(upstream);
            change.declared.objects.upstreams.back().state = state;
            return run(change);
        }
    }
    return unknown_object("upstream", request.upstream());
}

operator_result<v1::ApplyReply>
configuration_request_handler::run(const drivers::configuration_change& change)
{
    const drivers::change_outcome outcome = m_writer.apply(change);
    const auto* accepted = std::get_if<drivers::accepted_change>(&outcome);
    if (accepted != nullptr)
    {
        if (accepted->is_written)
        {
            m_on_change();
        }
        return reply_of(*accepted);
    }
    const auto* conflict = std::get_if<drivers::conflicting_change>(&outcome);
    return conflict != nullptr
               ? error_of_outcome(*conflict)
               : error_of_outcome(std::get<drivers::rejected_change>(outcome));
}

} // namespace turmeric::controller
