#include "libraries/codecs/common/cbor_reader.hpp"

namespace turmeric::codecs
{

json read_cbor(std::string_view bytes)
{
    // The library's decoder calls itself for each level.
    limit_checker checker({max_cbor_depth, max_cbor_values});
    if (!json::sax_parse(bytes.begin(), bytes.end(), &checker,
                         json::input_format_t::cbor))
    {
        return json(json::value_t::discarded);
    }
    try
    {
        return json::from_cbor(bytes.begin(), bytes.end(), true, false);
    }
    catch (const json::exception&)
    {
        // The library throws for excessive sizes even with exceptions disabled.
        return json(json::value_t::discarded);
    }
}

} // namespace turmeric::codecs
