#include "servers/identity/key_table.hpp"

#include <algorithm>
#include <new>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace savorydock {

namespace {

/// Number of leading bytes by which the table is searched. Entries that share
/// them are compared in constant time.
constexpr std::size_t search_bytes = 8;

} // namespace

key_table::digest key_table::digest_of(std::string_view key) {
    digest result{};
    // It fails only if memory can't be allocated. A table must not go on with a
    // wrong digest.
    if (EVP_Digest(key.data(), key.size(), result.data(), nullptr, EVP_sha256(),
                   nullptr) != 1) {
        throw std::bad_alloc();
    }
    return result;
}

key_table::key_table(const std::vector<organisation_rule>& organisations) {
    std::map<digest, std::optional<organisation_id>> owners;
    for (const organisation_rule& organisation : organisations) {
        const auto [known, is_new] =
            ranks_.try_emplace(organisation.name, organisation.priority);
        if (!is_new && !known->second) {
            known->second = organisation.priority;
        }
        for (const std::string& key : organisation.keys) {
            if (key.empty()) {
                continue;
            }
            const auto [listed, is_first] =
                owners.try_emplace(digest_of(key), organisation.name);
            if (!is_first && listed->second != organisation.name) {
                listed->second.reset();
            }
        }
    }
    for (const auto& [key, organisation] : owners) {
        if (organisation) {
            entries_.push_back({.key = key,
                                .whose = {.organisation = *organisation,
                                          .rank = rank_of(*organisation)}});
        }
    }
}

const key_table::owner* key_table::find(std::string_view key) const {
    if (key.empty() || entries_.empty()) {
        return nullptr;
    }
    const digest wanted = digest_of(key);
    const auto is_before = [](const digest& left, const digest& right) {
        return std::lexicographical_compare(
            left.begin(), left.begin() + search_bytes, right.begin(),
            right.begin() + search_bytes);
    };
    auto candidate =
        std::lower_bound(entries_.begin(), entries_.end(), wanted,
                         [&](const entry& listed, const digest& sought) {
                             return is_before(listed.key, sought);
                         });
    for (; candidate != entries_.end() && !is_before(wanted, candidate->key);
         ++candidate) {
        if (CRYPTO_memcmp(candidate->key.data(), wanted.data(), digest_size) ==
            0) {
            return &candidate->whose;
        }
    }
    return nullptr;
}

std::optional<std::uint32_t>
key_table::rank_of(const organisation_id& organisation) const {
    const auto found = ranks_.find(organisation);
    return found == ranks_.end() ? std::nullopt : found->second;
}

} // namespace savorydock
