#include "libraries/adapters/protobuf/declaration_messages.hpp"
#include "libraries/adapters/protobuf/message_body.hpp"

#include <operator.pb.h>

#include <CppUTest/TestHarness.h>

using namespace turmeric;

namespace
{

/// One object of each kind. No field has its default value, so that a lost
/// field shows.
domain::configuration one_object_of_each_kind()
{
    domain::configuration declared;
    declared.accounts = {
        {"club", {std::string(64, 'a')}, {{"season", {"chat"}}}, 3, -4}};
    domain::route_declaration route;
    route.name = "chat";
    route.kind = domain::route_kind::service;
    route.versions = {{"v1", 1'000'000}, {"v2", 0}};
    route.is_idempotent = false;
    route.tokens_per_call = 5'000'000'000;
    route.max_tokens = 7;
    route.idle_timeout = std::chrono::milliseconds(8);
    route.objective = {0.5, std::chrono::milliseconds(9),
                       std::chrono::milliseconds(10), 0.25};
    declared.routes = {route};
    declared.upstreams = {{"e1",
                           "a:1",
                           "north",
                           {"v1"},
                           2,
                           domain::upstream_state::leaving,
                           false}};
    domain::move_declaration move;
    move.route = "chat";
    move.from_version = "v1";
    move.to_version = "v2";
    move.start += std::chrono::milliseconds(1'700'000'000'250);
    move.deadline = move.start + std::chrono::hours(2);
    move.steps = {5, 1'000'000};
    move.soak = std::chrono::seconds(11);
    declared.moves = {move};
    declared.vms = {{"vm-1", domain::upstream_state::serving}};
    return declared;
}

} // namespace

TEST_GROUP(declaration_messages){};

TEST(declaration_messages, every_field_survives_encoding_and_decoding)
{
    turmericfront::v1::ExportReply sent;
    adapters::write_declarations(one_object_of_each_kind(),
                                 *sent.mutable_declarations());
    for (const adapters::body_format format :
         {adapters::body_format::json, adapters::body_format::binary})
    {
        turmericfront::v1::ExportReply received;
        CHECK(adapters::parse_message_body(
                  adapters::serialize_message_body(sent, format), format,
                  received)
                  .has_value());
        const result<domain::declaration_set> read =
            adapters::read_declarations(received.declarations());
        CHECK(read.has_value());
        CHECK(read.value().objects == one_object_of_each_kind());
        CHECK(read.value().upstreams_without_state.empty());
    }
}

TEST(declaration_messages, an_empty_declaration_is_rejected)
{
    turmericfront::v1::ExportReply sent;
    (void)sent.add_declarations();
    const result<domain::declaration_set> read =
        adapters::read_declarations(sent.declarations());
    CHECK_FALSE(read.has_value());
    STRCMP_EQUAL("declarations[0].kind", read.failure().field.c_str());
}
