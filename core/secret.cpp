#include "core/secret.hpp"

#include <openssl/crypto.h>

namespace savorydock {

bool is_same_secret(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace savorydock
