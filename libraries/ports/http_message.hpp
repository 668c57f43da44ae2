#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmeric::ports
{

/// One header field of a message as received, or as it is to be sent.
struct header_field
{
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// The head of a request.
struct request_head
{
    std::string method;
    /// Path and query as the caller sent them.
    std::string target;
    header_fields fields;
};

/// The head of a response.
struct response_head
{
    int status = 0;
    std::string reason;
    header_fields fields;
};

/// Compares two header names without regard to case. Thread safe.
[[nodiscard]] inline bool is_same_header_name(std::string_view one,
                                              std::string_view other)
{
    return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                      [](unsigned char left, unsigned char right)
                      { return std::tolower(left) == std::tolower(right); });
}

/// Returns the value of the first field named `name`, ignoring case, or null
/// if there is none. The pointer refers into `fields`. Thread safe.
[[nodiscard]] inline const std::string*
find_header_value(const header_fields& fields, std::string_view name)
{
    for (const header_field& field : fields)
    {
        if (is_same_header_name(field.name, name))
        {
            return &field.value;
        }
    }
    return nullptr;
}

} // namespace turmeric::ports
