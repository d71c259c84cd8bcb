// Tells the families of messages on a link apart: each message is a packed array whose first element is its family's name.
#pragma once

#include <string_view>

namespace jackdaw::protocol {

// Looks at the first bytes only. The name has fewer than 32 bytes, the array fewer than 16 elements.
inline bool isOfFamily(std::string_view bytes, std::string_view family)
{
    constexpr unsigned char fixedString = 0xa0;
    return bytes.size() > family.size() + 1 && static_cast<unsigned char>(bytes[1]) == (fixedString | family.size())
        && bytes.substr(2, family.size()) == family;
}

} // namespace jackdaw::protocol
