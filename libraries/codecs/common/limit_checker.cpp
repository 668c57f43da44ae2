#include "libraries/codecs/common/limit_checker.hpp"

namespace turmeric::codecs
{

limit_checker::limit_checker(document_limits limits)
    : m_limits(limits)
{
}

bool limit_checker::is_exceeded() const
{
    return m_depth > m_limits.depth || m_values > m_limits.values;
}

bool limit_checker::null()
{
    return count();
}

bool limit_checker::boolean(bool /*value*/)
{
    return count();
}

bool limit_checker::number_integer(number_integer_t /*value*/)
{
    return count();
}

bool limit_checker::number_unsigned(number_unsigned_t /*value*/)
{
    return count();
}

bool limit_checker::number_float(number_float_t /*value*/,
                                 const string_t& /*text*/)
{
    return count();
}

bool limit_checker::string(string_t& /*value*/)
{
    return count();
}

bool limit_checker::binary(binary_t& /*value*/)
{
    return count();
}

bool limit_checker::start_object(std::size_t /*elements*/)
{
    return enter();
}

bool limit_checker::key(string_t& /*value*/)
{
    return true;
}

bool limit_checker::end_object()
{
    return leave();
}

bool limit_checker::start_array(std::size_t /*elements*/)
{
    return enter();
}

bool limit_checker::end_array()
{
    return leave();
}

bool limit_checker::parse_error(std::size_t /*position*/,
                                const std::string& /*token*/,
                                const nlohmann::detail::exception& /*failure*/)
{
    return false;
}

bool limit_checker::count()
{
    ++m_values;
    return !is_exceeded();
}

bool limit_checker::enter()
{
    ++m_depth;
    return count();
}

bool limit_checker::leave()
{
    --m_depth;
    return true;
}

} // namespace turmeric::codecs
