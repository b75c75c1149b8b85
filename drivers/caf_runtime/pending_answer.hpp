#pragma once

#include "core/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace savorydock {

/// Lets a coroutine wait for an answer that the control thread delivers through
/// a callback. `handler` and its callback may be called on any thread; `wait`
/// must run on the executor's thread.
template <class Answer>
class pending_answer
    : public std::enable_shared_from_this<pending_answer<Answer>> {
public:
    explicit pending_answer(boost::asio::any_io_executor executor)
        : timer_(std::move(executor)) {}

    /// Returns the callback that delivers the answer. It keeps this object
    /// alive.
    std::function<void(Answer)> handler() {
        return [self = this->shared_from_this()](Answer answer) {
            boost::asio::post(self->timer_.get_executor(),
                              [self, answer = std::move(answer)]() mutable {
                                  self->answer_ = std::move(answer);
                                  self->timer_.cancel();
                              });
        };
    }

    /// Returns the answer, or nothing if none came by the deadline.
    boost::asio::awaitable<std::optional<Answer>> wait(steady_time deadline) {
        if (!answer_) {
            timer_.expires_at(deadline);
            co_await timer_.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        co_return std::move(answer_);
    }

private:
    boost::asio::steady_timer timer_;
    std::optional<Answer> answer_;
};

} // namespace savorydock
