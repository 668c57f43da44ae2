#include "services/router/request_intake.hpp"

#include "libraries/adapters/openssl/digests.hpp"
#include "libraries/domain/digest.hpp"

#include <algorithm>
#include <charconv>

namespace turmeric::router
{

namespace
{

constexpr std::size_t made_id_bytes = 16;
constexpr std::size_t most_id_bytes = 128;

bool is_id_character(char value)
{
    constexpr std::string_view others = "-_.:";
    return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'z') ||
           (value >= 'A' && value <= 'Z') ||
           others.find(value) != std::string_view::npos;
}

result<std::string> read_request_id(const adapters::http_request& http)
{
    std::string given = http.header("Idempotency-Key");
    if (given.empty())
    {
        return adapters::random_hex(made_id_bytes);
    }
    if (given.size() > most_id_bytes ||
        !std::all_of(given.begin(), given.end(), &is_id_character))
    {
        return error{result_code::invalid_field, "Idempotency-Key",
                     "expected 1 to 128 letters, digits or -_.:"};
    }
    return given;
}

result<std::optional<ports::steady_time>>
read_deadline(const adapters::http_request& http, ports::steady_time now)
{
    std::string given = http.header("Turmeric-Deadline-Ms");
    if (given.empty())
    {
        return std::optional<ports::steady_time>();
    }
    constexpr std::int64_t most = 24LL * 3600 * 1000;
    std::int64_t parsed = 0;
    const char* end = given.data() + given.size();
    std::from_chars_result read = std::from_chars(given.data(), end, parsed);
    if (read.ec != std::errc() || read.ptr != end || parsed <= 0 ||
        parsed > most)
    {
        return error{result_code::invalid_field, "Turmeric-Deadline-Ms",
                     "expected milliseconds from 1 to 86400000"};
    }
    return std::optional<ports::steady_time>(now +
                                             std::chrono::milliseconds(parsed));
}

/// Fills in what engines and services have in common.
result<drivers::request_context>
take_common(const adapters::http_request& http,
            const domain::account_declaration& account,
            const domain::route_declaration& route, ports::steady_time now)
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
    // A caller may ask for more care than the route does, never for less.
    request.is_idempotent =
        route.is_idempotent && http.header("Turmeric-Idempotent") != "false";
    request.body_digest =
        domain::digest_of(http.body, domain::digest_of(http.target));
    return request;
}

} // namespace

result<drivers::request_context>
take_chat_request(const adapters::http_request& http,
                  const caller_directory& directory,
                  std::size_t bytes_per_token, ports::steady_time now)
{
    result<const domain::account_declaration*> account =
        directory.authenticate(http.header("Authorization"));
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
        directory.find_route(chat.value().model, domain::route_kind::engine);
    if (!route)
    {
        return route.failure();
    }
    result<drivers::request_context> request =
        take_common(http, *account.value(), *route.value(), now);
    if (!request)
    {
        return request;
    }
    drivers::request_context& made = request.value();
    made.chat = std::move(chat.value());
    domain::tokens most = route.value()->max_tokens;
    made.max_tokens = made.chat->max_tokens.value_or(most);
    if (made.max_tokens > most)
    {
        return error{result_code::invalid_field, "max_tokens",
                     "the route allows at most " + std::to_string(most)};
    }
    made.prompt_tokens = codecs::max_prompt_tokens(*made.chat, bytes_per_token);
    made.upper_bound = made.prompt_tokens + made.max_tokens;
    return request;
}

result<drivers::request_context>
take_service_request(const adapters::http_request& http,
                     const caller_directory& directory, ports::steady_time now)
{
    constexpr std::string_view prefix = "/services/";
    result<const domain::account_declaration*> account =
        directory.authenticate(http.header("Authorization"));
    if (!account)
    {
        return account.failure();
    }
    std::string rest = http.target.substr(prefix.size());
    std::size_t end = rest.find_first_of("/?");
    std::string name = rest.substr(0, end);
    result<const domain::route_declaration*> route =
        directory.find_route(name, domain::route_kind::service);
    if (!route)
    {
        return route.failure();
    }
    result<drivers::request_context> request =
        take_common(http, *account.value(), *route.value(), now);
    if (!request)
    {
        return request;
    }
    drivers::request_context& made = request.value();
    made.method = http.method;
    made.path = end == std::string::npos ? "/" : rest.substr(end);
    if (made.path.front() != '/')
    {
        made.path.insert(made.path.begin(), '/');
    }
    made.content_type = http.header("Content-Type");
    made.body = http.body;
    made.upper_bound = route.value()->tokens_per_call;
    return request;
}

} // namespace turmeric::router
