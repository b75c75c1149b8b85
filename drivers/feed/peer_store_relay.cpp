#include "drivers/feed/peer_store_relay.hpp"

#include "core/wire_codec.hpp"
#include "platform/store_codec.hpp"
#include "servers/platform/call_effect.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr const char* content_type = "Content-Type";
/// Time for the request to the other instance, its call to the store and the
/// response.
constexpr std::chrono::milliseconds answer_time{600};
/// How many instances are tried for one call.
constexpr std::size_t max_candidates = 3;

http_response to_response(const relayed_answer& answer) {
    http_response response{.status = answer.status, .body = answer.body};
    response.headers.push_back({content_type, answer.content_type});
    return response;
}

/// The effect of a call that another instance was asked to make, from its
/// answer; nullopt if it sent none.
call_effect effect_of(const std::optional<relayed_answer>& answer) {
    if (!answer) {
        return call_effect::possible;
    }
    if (answer->is_answered) {
        return platform::effect_of(to_response(*answer));
    }
    return answer->may_take_effect ? call_effect::possible : call_effect::none;
}

} // namespace

peer_store_relay::peer_store_relay(asio::io_context& context,
                                   store_client& store, peer_transport& peers,
                                   const node_directory& directory,
                                   instance_id self, candidate_list candidates,
                                   logger& log)
    : context_(context)
    , store_(store)
    , peers_(peers)
    , directory_(directory)
    , self_(std::move(self))
    , candidates_(std::move(candidates))
    , log_(log) {}

bool peer_store_relay::send(const instance_id& to, peer_topic topic,
                            std::string body) {
    const auto entry = directory_.find(to);
    if (entry == directory_.end() || to == self_) {
        return false;
    }
    peers_.send(
        {.from = self_, .to = to, .topic = topic, .body = std::move(body)},
        entry->second.address);
    return true;
}

asio::awaitable<outcome<http_response>>
peer_store_relay::call(http_request request) {
    const std::vector<instance_id> candidates = candidates_();
    call_effect effect = call_effect::none;
    std::size_t tried_count = 0;
    for (const instance_id& candidate : candidates) {
        if (tried_count == max_candidates) {
            break;
        }
        const std::uint64_t number = numbers_.next();
        const relayed_call call{.number = number,
                                .method = request.method,
                                .target = request.target,
                                .content_type =
                                    std::string(request.header(content_type)),
                                .body = request.body};
        if (!send(candidate, peer_topic::store_call, wire::encode(call))) {
            continue;
        }
        ++tried_count;
        const auto waiting = std::make_shared<waiting_call>(waiting_call{
            .peer = candidate, .timer = asio::steady_timer(context_)});
        waiting_[number] = waiting;
        waiting->timer.expires_after(answer_time);
        co_await waiting->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        waiting_.erase(number);
        const auto& answer = waiting->answer;
        const bool is_answered = answer && answer->is_answered;
        const call_effect tried = effect_of(answer);
        effect = combine(effect, tried);
        log_.write(log_event::store_call_relayed,
                   "through=" + candidate.text() +
                       " call=" + std::string(request.path()) + " outcome=" +
                       (is_answered ? std::to_string(answer->status)
                        : answer    ? "unreachable"
                                    : "silent") +
                       " effect=" + std::string(to_word(tried)));
        const bool is_final =
            tried == call_effect::answered || effect == call_effect::none;
        if (is_answered && is_final) {
            co_return to_response(*answer);
        }
        if (is_answered) {
            break;
        }
    }
    co_return failure{effect == call_effect::none
                          ? result_code::store_refused
                          : result_code::store_unanswered,
                      "no instance reached the store"};
}

void peer_store_relay::on_message(const peer_message& message) {
    if (message.topic == peer_topic::store_call) {
        auto call = wire::decode<relayed_call>(message.body);
        if (!call) {
            log_.write(log_event::store_call_failed,
                       "from=" + message.from.text() + " reason=\"" +
                           call.reason().detail + '"');
            return;
        }
        asio::co_spawn(context_, serve(message.from, std::move(*call)),
                       asio::detached);
        return;
    }
    handle_answer(message);
}

void peer_store_relay::handle_answer(const peer_message& message) {
    auto answer = wire::decode<relayed_answer>(message.body);
    if (!answer) {
        log_.write(log_event::peer_frame_refused,
                   "from=" + message.from.text() + " reason=\"" +
                       answer.reason().detail + '"');
        return;
    }
    const auto found = waiting_.find(answer->number);
    if (found == waiting_.end() || found->second->peer != message.from) {
        log_.write(log_event::peer_reply_unmatched,
                   "topic=store_answer from=" + message.from.text() +
                       " number=" + std::to_string(answer->number));
        return;
    }
    found->second->answer = std::move(*answer);
    found->second->timer.cancel();
}

asio::awaitable<void> peer_store_relay::serve(instance_id caller,
                                              relayed_call call) {
    relayed_answer answer{.number = call.number};
    if (store_.is_reachable()) {
        http_request request{.method = call.method,
                             .target = call.target,
                             .body = std::move(call.body)};
        if (!call.content_type.empty()) {
            request.headers.push_back({content_type, call.content_type});
        }
        const auto response = co_await store_.call_for_peer(std::move(request));
        answer.is_answered = response.has_value();
        if (response) {
            answer.status = response->status;
            answer.content_type = std::string(response->header(content_type));
            answer.body = response->body;
        } else {
            answer.may_take_effect =
                response.reason().code != result_code::store_refused;
        }
    }
    send(caller, peer_topic::store_answer, wire::encode(answer));
}

} // namespace savorydock
