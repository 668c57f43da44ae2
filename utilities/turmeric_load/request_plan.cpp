#include "utilities/turmeric_load/request_plan.hpp"

#include "libraries/core/json.hpp"
#include "libraries/domain/digest.hpp"
#include "standins/common/response_text.hpp"

#include <fmt/core.h>

namespace turmeric::load
{

namespace
{

/// Returns a pseudo-random number for `purpose` in request `number`; equal
/// seeds give equal numbers.
std::uint64_t random_number(const load_options& options, std::int64_t number,
                            std::string_view purpose)
{
    return domain::digest_of(fmt::format("{} {}", purpose, number),
                             options.seed);
}

std::string make_filler_text(std::uint64_t digest, std::size_t bytes)
{
    std::string text;
    for (std::int64_t index = 0; text.size() < bytes; ++index)
    {
        standins::append_token(text, digest, index);
    }
    text.resize(bytes);
    return text;
}

std::string make_prompt(const load_options& options, std::int64_t number,
                        std::int64_t tokens)
{
    std::string prompt;
    if (options.prefix_groups > 0)
    {
        const std::uint64_t group =
            random_number(options, number, "group") % options.prefix_groups;
        prompt = make_filler_text(options.seed + group, options.prefix_bytes);
    }
    prompt += make_filler_text(random_number(options, number, "prompt"),
                               options.prompt_bytes);
    prompt += fmt::format(" request {} of {} [[tokens={}]]", number,
                          options.seed, tokens);
    return prompt;
}

} // namespace

request_plan plan_request(const load_options& options, std::int64_t number)
{
    const std::uint64_t length_count =
        static_cast<std::uint64_t>(options.max_tokens - options.min_tokens + 1);
    request_plan plan;
    plan.id = fmt::format("load-{}-{}", options.seed, number);
    plan.tokens = options.min_tokens +
                  static_cast<std::int64_t>(
                      random_number(options, number, "tokens") % length_count);
    const std::string prompt = make_prompt(options, number, plan.tokens);
    std::string digest_input;
    standins::append_message(digest_input, "user", prompt);
    plan.prompt_digest = domain::digest_of(digest_input);
    const json message = {{"role", "user"}, {"content", prompt}};
    const json body = {{"model", options.route},
                       {"stream", options.is_streamed},
                       {"max_tokens", plan.tokens},
                       {"messages", json::array({message})}};
    plan.body = body.dump();
    return plan;
}

std::string write_request(const load_options& options, const request_plan& plan,
                          const std::string& address)
{
    std::string text = fmt::format("POST /v1/chat/completions HTTP/1.1\r\n"
                                   "Host: {}\r\n"
                                   "Content-Type: application/json\r\n"
                                   "Idempotency-Key: {}\r\n",
                                   address, plan.id);
    if (options.is_direct)
    {
        text += fmt::format("X-Request-Id: {}\r\n", plan.id);
    }
    if (!options.key.empty())
    {
        text += fmt::format("Authorization: Bearer {}\r\n", options.key);
    }
    if (!options.budget.empty())
    {
        text += fmt::format("Turmeric-Budget: {}\r\n", options.budget);
    }
    if (!options.keeps_connections)
    {
        text += "Connection: close\r\n";
    }
    text += fmt::format("Content-Length: {}\r\n\r\n", plan.body.size());
    return text + plan.body;
}

} // namespace turmeric::load
