#include "core/base64.hpp"

#include <openssl/evp.h>

namespace savorydock {

namespace {

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t characters_per_group = 4;

const unsigned char* as_octets(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string to_base64(std::string_view bytes) {
    const std::size_t groups =
        (bytes.size() + bytes_per_group - 1) / bytes_per_group;
    // EVP_EncodeBlock ends its output with a zero byte.
    std::string text(groups * characters_per_group + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        as_octets(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

outcome<std::string> from_base64(std::string_view text) {
    if (text.empty()) {
        return std::string();
    }
    if (text.size() % characters_per_group != 0) {
        return failure{result_code::bad_frame, "base64 of an odd length"};
    }
    std::string bytes(text.size() / characters_per_group * bytes_per_group,
                      '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        as_octets(text), static_cast<int>(text.size()));
    if (length < 0) {
        return failure{result_code::bad_frame, "not base64"};
    }
    // EVP_DecodeBlock counts the padding as data.
    std::size_t padding = text.ends_with('=') ? 1 : 0;
    padding += text.ends_with("==") ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace savorydock
