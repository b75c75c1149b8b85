#include "core/short_digest.hpp"

#include <array>
#include <openssl/evp.h>

namespace savorydock {

std::string short_digest(std::string_view secret) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> octets{};
    if (EVP_Digest(secret.data(), secret.size(), octets.data(), nullptr,
                   EVP_sha256(), nullptr) != 1) {
        return "????";
    }
    std::string text;
    for (const unsigned char octet : {octets[0], octets[1]}) {
        text += digits[octet / digits.size()];
        text += digits[octet % digits.size()];
    }
    return text;
}

} // namespace savorydock
