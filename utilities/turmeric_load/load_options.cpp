#include "utilities/turmeric_load/load_options.hpp"

#include "libraries/adapters/etcd/host_port.hpp"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace turmeric::load
{

namespace
{

error bad_argument(std::string option, std::string detail)
{
    return error{result_code::bad_argument, std::move(option),
                 std::move(detail)};
}

std::optional<std::int64_t> read_count(std::string_view text)
{
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data(), end, number);
    const bool is_valid =
        parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
    return is_valid ? std::optional<std::int64_t>(number) : std::nullopt;
}

/// Reads "N" or "MIN-MAX".
status read_token_range(const std::string& text, load_options& options)
{
    const std::size_t dash = text.find('-');
    const std::optional<std::int64_t> minimum =
        read_count(text.substr(0, dash));
    const std::optional<std::int64_t> maximum =
        dash == std::string::npos ? minimum : read_count(text.substr(dash + 1));
    if (!minimum || !maximum || *minimum > *maximum)
    {
        return bad_argument("tokens", "expected N or MIN-MAX");
    }
    options.min_tokens = *minimum;
    options.max_tokens = *maximum;
    return success();
}

status validate(const load_options& options, bool has_limit)
{
    for (const std::string& target : options.targets)
    {
        if (!adapters::parse_host_port(target))
        {
            return bad_argument("target",
                                "\"" + target + "\" is not HOST:PORT");
        }
    }
    if (options.targets.empty())
    {
        return bad_argument("target", "expected at least one");
    }
    if (!has_limit)
    {
        return bad_argument("requests", "expected --requests or --duration-s");
    }
    if (options.concurrency == 0)
    {
        return bad_argument("concurrency", "must be at least 1");
    }
    if (options.max_attempts < 1)
    {
        return bad_argument("attempts", "must be at least 1");
    }
    if (options.slow_percent > 0 && options.read_bytes_per_second <= 0)
    {
        return bad_argument("read-bytes-per-second",
                            "slow readers need a positive rate");
    }
    return success();
}

} // namespace

void add_load_options(cxxopts::Options& options)
{
    const auto text = [](const char* value)
    { return cxxopts::value<std::string>()->default_value(value); };
    const auto number = [](const char* value)
    { return cxxopts::value<std::int64_t>()->default_value(value); };
    const auto size = [](const char* value)
    { return cxxopts::value<std::size_t>()->default_value(value); };
    const auto decimal = [](const char* value)
    { return cxxopts::value<double>()->default_value(value); };
    options.add_options()("target", "routers to ask for addresses, or engines",
                          cxxopts::value<std::vector<std::string>>())(
        "direct", "send to the targets themselves, which are engines")(
        "route", "route, or version if direct",
        text("chat"))("key", "key of the caller", text(""))(
        "budget", "budget named in each request",
        text(""))("concurrency", "number of concurrent callers", size("1"))(
        "requests", "requests in total", cxxopts::value<std::int64_t>())(
        "duration-s", "seconds during which requests are started",
        cxxopts::value<double>())(
        "tokens", "response length in tokens, N or MIN-MAX",
        text("50"))("whole", "request complete responses, not streams")(
        "new-connections", "open a connection for each request")(
        "attempts",
        "attempts for each request, at different routers, with the same key",
        cxxopts::value<int>()->default_value("1"))(
        "slow-percent", "percentage of callers that read slowly",
        decimal("100"))("read-bytes-per-second",
                        "rate of slow readers, 0: none are slow", number("0"))(
        "prompt-bytes", "bytes of each prompt that are not shared", size("64"))(
        "prefix-groups", "number of shared texts that prompts begin with",
        size("0"))("prefix-bytes", "bytes of each shared text", size("0"))(
        "seed", "seed of the random choices",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "idle-timeout-ms",
        "milliseconds without data after which an attempt fails",
        number("60000"))("json", "print one JSON object")(
        "help", "print this help")("version", "print the version");
}

result<load_options> read_load_options(const cxxopts::ParseResult& arguments)
{
    load_options options;
    if (arguments.count("target") > 0)
    {
        options.targets = arguments["target"].as<std::vector<std::string>>();
    }
    options.is_direct = arguments.count("direct") > 0;
    options.route = arguments["route"].as<std::string>();
    options.key = arguments["key"].as<std::string>();
    options.budget = arguments["budget"].as<std::string>();
    options.concurrency = arguments["concurrency"].as<std::size_t>();
    const bool has_requests = arguments.count("requests") > 0;
    const bool has_duration = arguments.count("duration-s") > 0;
    if (has_requests)
    {
        options.requests = arguments["requests"].as<std::int64_t>();
    }
    if (has_duration)
    {
        options.duration =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(
                    arguments["duration-s"].as<double>()));
    }
    const status tokens =
        read_token_range(arguments["tokens"].as<std::string>(), options);
    if (!tokens)
    {
        return tokens.failure();
    }
    options.is_streamed = arguments.count("whole") == 0;
    options.keeps_connections = arguments.count("new-connections") == 0;
    options.max_attempts = arguments["attempts"].as<int>();
    options.read_bytes_per_second =
        arguments["read-bytes-per-second"].as<std::int64_t>();
    options.slow_percent = options.read_bytes_per_second > 0
                               ? arguments["slow-percent"].as<double>()
                               : 0.0;
    options.prompt_bytes = arguments["prompt-bytes"].as<std::size_t>();
    options.prefix_groups = arguments["prefix-groups"].as<std::size_t>();
    options.prefix_bytes = arguments["prefix-bytes"].as<std::size_t>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.idle_timeout = std::chrono::milliseconds(
        arguments["idle-timeout-ms"].as<std::int64_t>());
    options.is_json = arguments.count("json") > 0;
    const status validated = validate(options, has_requests || has_duration);
    if (!validated)
    {
        return validated.failure();
    }
    return options;
}

} // namespace turmeric::load
