#include "services/router/request_context_factory.hpp"

#include "libraries/adapters/openssl/digests.hpp"
#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <charconv>

namespace turmeric::router
{

namespace
{

constexpr std::size_t generated_id_bytes = 16;
constexpr std::size_t max_id_bytes = 128;

bool is_id_character(char value)
{
    constexpr std::string_view punctuation = "-_.:";
    return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'z') ||
           (value >= 'A' && value <= 'Z') ||
           punctuation.find(value) != std::string_view::npos;
}

result<std::string> read_request_id(const adapters::http_request& http)
{
    std::string value = http.header("Idempotency-Key");
    if (value.empty())
    {
        return adapters::random_hex(generated_id_bytes);
    }
    if (value.size() > max_id_bytes ||
        !std::all_of(value.begin(), value.end(), &is_id_character))
    {
        return error{result_code::invalid_field, "Idempotency-Key",
                     "expected 1 to 128 letters, digits or -_.:"};
    }
    return value;
}

result<std::optional<ports::steady_time>>
read_deadline(const adapters::http_request& http, ports::steady_time now)
{
    std::string value = http.header("Turmeric-Deadline-Ms");
    if (value.empty())
    {
        return std::optional<ports::steady_time>();
    }
    constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;
    std::int64_t parsed = 0;
    const char* end = value.data() + value.size();
    std::from_chars_result read = std::from_chars(value.data(), end, parsed);
    if (read.ec != std::errc() || read.ptr != end || parsed <= 0 ||
        parsed > max_deadline_ms)
    {
        return error{result_code::invalid_field, "Turmeric-Deadline-Ms",
                     "expected milliseconds from 1 to 86400000"};
    }
    return std::optional<ports::steady_time>(now +
                                             std::chrono::milliseconds(parsed));
}

/// Sets the fields that requests to engines and to services have in common.
result<drivers::request_context>
make_common_context(const adapters::http_request& http,
                    const domain::account_declaration& account,
                    const domain::route_declaration& route,
                    ports::steady_time now)
{
    drivers::request_context request;
    request.account = account;
    request.route = route;
    request.arrived_at = now;
    result<std::string> id = read_request_id(http);
    if (!id)
    {
        return id.failure();
    }
    request.request_id = id.value();
    result<std::string> budget =
        find_budget(account, route.name, http.header("Turmeric-Budget"));
    if (!budget)
    {
        return budget.failure();
    }
    request.budget = budget.value();
    result<std::optional<ports::steady_time>> deadline =
        read_deadline(http, now);
    if (!deadline)
    {
        return deadline.failure();
    }
    request.deadline = deadline.value();
    request.traceparent = http.header("traceparent");
    // A caller may declare a request not idempotent although its route is
    // idempotent, but not the reverse.
    request.is_idempotent =
        route.is_idempotent && http.header("Turmeric-Idempotent") != "false";
    request.body_digest =
        domain::digest_of(http.body, domain::digest_of(http.target));
    return request;
}

} // namespace

result<drivers::request_context>
make_chat_request_context(const adapters::http_request& http,
                          const configuration_index& index,
                          std::size_t bytes_per_token, ports::steady_time now)
{
    result<const domain::account_declaration*> account =
        index.authenticate(http.header("Authorization"));
    if (!account)
    {
        return account.failure();
    }
    result<codecs::chat_request> chat = codecs::parse_chat_request(http.body);
    if (!chat)
    {
        return chat.failure();
    }
    result<const domain::route_declaration*> route =
        index.find_route(chat.value().model, domain::route_kind::engine);
    if (!route)
    {
        return route.failure();
    }
    result<drivers::request_context> request =
        make_common_context(http, *account.value(), *route.value(), now);
    if (!request)
    {
        return request;
    }
    drivers::request_context& context = request.value();
    context.chat = std::move(chat.value());
    domain::tokens route_max_tokens = route.value()->max_tokens;
    context.max_tokens = context.chat->max_tokens.value_or(route_max_tokens);
    if (context.max_tokens > route_max_tokens)
    {
        return error{result_code::invalid_field, "max_tokens",
                     "the route allows at most " +
                         std::to_string(route_max_tokens)};
    }
    context.prompt_tokens =
        codecs::max_prompt_tokens(*context.chat, bytes_per_token);
    context.upper_bound = context.prompt_tokens + context.max_tokens;
    return request;
}

result<drivers::request_context>
make_service_request_context(const adapters::http_request& http,
                             const configuration_index& index,
                             ports::steady_time now)
{
    constexpr std::string_view prefix = "/services/";
    result<const domain::account_declaration*> account =
        index.authenticate(http.header("Authorization"));
    if (!account)
    {
        return account.failure();
    }
    std::string after_prefix = http.target.substr(prefix.size());
    std::size_t end = after_prefix.find_first_of("/?");
    std::string name = after_prefix.substr(0, end);
    result<const domain::route_declaration*> route =
        index.find_route(name, domain::route_kind::service);
    if (!route)
    {
        return route.failure();
    }
    result<drivers::request_context> request =
        make_common_context(http, *account.value(), *route.value(), now);
    if (!request)
    {
        return request;
    }
    drivers::request_context& context = request.value();
    context.method = http.method;
    context.path = end == std::string::npos ? "/" : after_prefix.substr(end);
    if (context.path.front() != '/')
    {
        context.path.insert(context.path.begin(), '/');
    }
    context.content_type = http.header("Content-Type");
    context.body = http.body;
    context.upper_bound = route.value()->tokens_per_call;
    return request;
}

} // namespace turmeric::router
