#include "libraries/codecs/common/cbor_reader.hpp"

namespace turmeric::codecs
{

json read_cbor(std::string_view bytes)
{
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
