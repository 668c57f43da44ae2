#include "libraries/codecs/burn/result_classes.hpp"

#include "libraries/core/result_code.hpp"

#include <map>

namespace turmeric::codecs
{

namespace
{

using class_map = std::map<std::string, result_class, std::less<>>;

class_map make_classes()
{
    constexpr int http_too_many_requests = 429;
    constexpr int http_internal_server_error = 500;
    // Codes from 5000 on are left out, so they count as bad: they are failures
    // outside the router and never caller errors.
    constexpr int first_code = 1000;
    constexpr int past_last_code = 5000;
    class_map classes;
    for (int number = first_code; number < past_last_code; ++number)
    {
        const auto code = static_cast<result_code>(number);
        const std::string_view name = name_of(code);
        if (name == "unknown")
        {
            continue;
        }
        const int http = http_status_of(code);
        const bool is_bad = http >= http_internal_server_error ||
                            http == http_too_many_requests;
        classes.emplace(name, is_bad ? result_class::bad
                                     : result_class::caller_error);
    }
    classes.emplace("ok", result_class::good);
    return classes;
}

const class_map& classes()
{
    static const class_map result_classes = make_classes();
    return result_classes;
}

} // namespace

result_class result_class_of(std::string_view code)
{
    const auto found = classes().find(code);
    return found == classes().end() ? result_class::bad : found->second;
}

std::vector<std::string> caller_error_codes()
{
    std::vector<std::string> codes;
    for (const auto& [name, classification] : classes())
    {
        if (classification == result_class::caller_error)
        {
            codes.push_back(name);
        }
    }
    return codes;
}

} // namespace turmeric::codecs
