#include "servers/admission/caller_memory.hpp"

#include <chrono>
#include <unordered_map>
#include <utility>

namespace savorydock {

namespace {

/// The part of the memory for small requests and answers is one in this many.
constexpr std::size_t small_parts = 4;

std::size_t distance(std::size_t left, std::size_t right) {
    return left > right ? left - right : right - left;
}

} // namespace

caller_memory::share::share(std::shared_ptr<caller_memory> owner,
                            std::string caller,
                            std::function<void()> on_revoked)
    : owner_(std::move(owner))
    , caller_(std::move(caller))
    , on_revoked_(std::move(on_revoked)) {}

caller_memory::share::~share() {
    reset();
}

void caller_memory::share::reset() {
    if (bytes_ > 0) {
        (is_large_ ? owner_->used_large_ : owner_->used_small_) -= bytes_;
    }
    if (is_linked()) {
        owner_->large_.erase(owner_->large_.iterator_to(*this));
    }
    bytes_ = 0;
    marked_bytes_ = 0;
    is_large_ = false;
    is_revocable_ = true;
    is_revoked_ = false;
}

void caller_memory::share::assign(std::size_t bytes, bool is_large,
                                  steady_time now) {
    (is_large_ ? owner_->used_large_ : owner_->used_small_) -= bytes_;
    (is_large ? owner_->used_large_ : owner_->used_small_) += bytes;
    if (is_large && !is_linked()) {
        owner_->large_.push_back(*this);
    } else if (!is_large && is_linked()) {
        owner_->large_.erase(owner_->large_.iterator_to(*this));
    }
    if (bytes_ == 0 ||
        distance(bytes, marked_bytes_) >= owner_->options_.progress_bytes) {
        marked_bytes_ = bytes;
        progress_at_ = now;
    }
    is_large_ = is_large;
    bytes_ = bytes;
}

bool caller_memory::share::resize(std::size_t bytes, steady_time now) {
    if (is_revoked_) {
        return false;
    }
    caller_memory& owner = *owner_;
    const std::size_t small_of_others =
        owner.used_small_ - (is_large_ ? 0 : bytes_);
    const bool is_large = bytes > owner.options_.small_bytes ||
                          bytes > owner.max_small_ - small_of_others;
    const bool is_growing = bytes > bytes_ || !is_large_;
    if (is_large && is_growing && !owner.make_room(*this, bytes, now)) {
        ++owner.refused_;
        return false;
    }
    assign(bytes, is_large, now);
    return true;
}

void caller_memory::share::force(std::size_t bytes, steady_time now) {
    if (!resize(bytes, now) && !is_revoked_) {
        assign(bytes, true, now);
    }
}

caller_memory::caller_memory(caller_memory_options options)
    : options_(options)
    , max_small_(options.max_bytes / small_parts)
    , max_large_(options.max_bytes - max_small_) {}

caller_memory_counters caller_memory::counters() const {
    return {.used_bytes = used_small_ + used_large_,
            .revoked = revoked_,
            .refused = refused_};
}

bool caller_memory::make_room(share& growing, std::size_t bytes,
                              steady_time now) {
    const std::size_t held = growing.is_large_ ? growing.bytes_ : 0;
    while (used_large_ - held + bytes > max_large_) {
        share* const victim = find_victim(growing, bytes, now);
        if (victim == nullptr || victim == &growing) {
            return false;
        }
        revoke(*victim);
        victim->on_revoked_();
    }
    return true;
}

caller_memory::share*
caller_memory::find_victim(share& growing, std::size_t bytes, steady_time now) {
    const auto weight = [&](const share& held) {
        const bool is_new = held.bytes_ == 0;
        const std::chrono::duration<double, std::milli> age =
            is_new ? steady_time::duration(0) : now - held.progress_at_;
        return static_cast<double>(&held == &growing ? bytes : held.bytes_) *
               (age.count() + 1);
    };
    std::unordered_map<std::string_view, double> caller_weights;
    caller_weights[growing.caller_] += weight(growing);
    for (const share& held : large_) {
        if (held.is_revocable_ && &held != &growing) {
            caller_weights[held.caller_] += weight(held);
        }
    }
    share* victim = &growing;
    const auto rank = [&](const share& held) {
        return std::pair(caller_weights[held.caller_], weight(held));
    };
    for (share& held : large_) {
        if (held.is_revocable_ && &held != &growing &&
            rank(held) > rank(*victim)) {
            victim = &held;
        }
    }
    return victim;
}

void caller_memory::revoke(share& victim) {
    ++revoked_;
    used_large_ -= victim.bytes_;
    victim.bytes_ = 0;
    victim.is_revoked_ = true;
    large_.erase(large_.iterator_to(victim));
    victim.is_large_ = false;
}

} // namespace savorydock
