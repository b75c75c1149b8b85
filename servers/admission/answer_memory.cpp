#include "servers/admission/answer_memory.hpp"

#include <algorithm>

namespace savorydock {

answer_memory::share::share(std::shared_ptr<answer_memory> owner,
                            std::function<void()> on_revoked)
    : owner_(std::move(owner))
    , on_revoked_(std::move(on_revoked)) {
    owner_->shares_.insert(this);
}

answer_memory::share::~share() {
    owner_->used_bytes_ -= bytes_;
    owner_->shares_.erase(this);
}

bool answer_memory::share::add(std::size_t bytes) {
    if (is_revoked_) {
        return false;
    }
    bytes_ += bytes;
    owner_->used_bytes_ += bytes;
    while (owner_->used_bytes_ > owner_->max_bytes_ && !is_revoked_) {
        const auto largest =
            std::max_element(owner_->shares_.begin(), owner_->shares_.end(),
                             [](const share* left, const share* right) {
                                 return left->bytes_ < right->bytes_;
                             });
        share& given_up = (*largest)->bytes_ > bytes_ ? **largest : *this;
        owner_->revoke(given_up);
        if (&given_up != this) {
            given_up.on_revoked_();
        }
    }
    return !is_revoked_;
}

void answer_memory::revoke(share& given_up) {
    given_up.is_revoked_ = true;
    used_bytes_ -= given_up.bytes_;
    given_up.bytes_ = 0;
}

} // namespace savorydock
