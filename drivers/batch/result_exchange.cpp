#include "drivers/batch/result_exchange.hpp"

#include "core/wire_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Time for the request, and for the reply besides the wait that it allows.
constexpr std::chrono::milliseconds reply_time{300};
/// How long a planner that didn't reply is not asked again.
constexpr std::chrono::milliseconds silence_pause{2'000};

/// Whether the reply answers a request for these results. Older instances don't
/// name the job.
bool is_reply_for(const result_reply& reply, const job_id& job,
                  std::size_t first) {
    return reply.first == first && (reply.job.is_empty() || reply.job == job);
}

} // namespace

result_exchange::result_exchange(asio::io_context& context, job_store& jobs,
                                 peer_transport& peers,
                                 const node_directory& directory,
                                 instance_id self, lookups used_lookups,
                                 logger& log)
    : context_(context)
    , jobs_(jobs)
    , peers_(peers)
    , directory_(directory)
    , self_(std::move(self))
    , lookups_(std::move(used_lookups))
    , log_(log) {}

bool result_exchange::send(const instance_id& to, peer_topic topic,
                           std::string body) {
    const auto entry = directory_.find(to);
    if (entry == directory_.end()) {
        return false;
    }
    peers_.send(
        {.from = self_, .to = to, .topic = topic, .body = std::move(body)},
        entry->second.address);
    return true;
}

asio::awaitable<std::optional<std::vector<std::string>>>
result_exchange::read_own(job_id job, std::size_t first,
                          std::chrono::milliseconds wait) {
    std::function<store_revision()> term = [this, job] {
        return lookups_.own_term_of(job);
    };
    co_return co_await jobs_.read_own_results(job, first, wait,
                                              std::move(term));
}

asio::awaitable<std::optional<std::vector<std::string>>>
result_exchange::read(job_record record, std::size_t first,
                      std::chrono::milliseconds wait) {
    const job_id job = record.id;
    const instance_id planner = lookups_.planner_of(record);
    if (planner == self_) {
        co_return co_await read_own(job, first, wait);
    }
    const auto silent = silent_until_.find(planner);
    if (silent != silent_until_.end()) {
        if (std::chrono::steady_clock::now() < silent->second) {
            co_return std::nullopt;
        }
        silent_until_.erase(silent);
    }
    const std::uint64_t number = numbers_.next();
    const result_request request{
        .number = number, .job = job, .first = first, .wait = wait};
    if (!send(planner, peer_topic::result_request, wire::encode(request))) {
        co_return std::nullopt;
    }
    const auto waiting = std::make_shared<waiting_read>(
        waiting_read{.planner = planner,
                     .job = job,
                     .first = first,
                     .timer = asio::steady_timer(context_)});
    waiting_[number] = waiting;
    waiting->timer.expires_after(wait + reply_time);
    co_await waiting->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(number);
    if (!waiting->reply) {
        silent_until_[planner] =
            std::chrono::steady_clock::now() + silence_pause;
        log_.write(log_event::result_read_unanswered,
                   "job=" + job.text() + " planner=" + planner.text() +
                       " first=" + std::to_string(first));
        co_return std::nullopt;
    }
    if (!waiting->reply->is_known) {
        co_return std::nullopt;
    }
    co_return std::move(waiting->reply->rows);
}

void result_exchange::on_message(const peer_message& message) {
    if (message.topic == peer_topic::result_request) {
        auto request = wire::decode<result_request>(message.body);
        if (!request) {
            log_.write(log_event::peer_frame_refused,
                       "from=" + message.from.text() + " reason=\"" +
                           request.reason().detail + '"');
            return;
        }
        asio::co_spawn(context_, serve(message.from, std::move(*request)),
                       asio::detached);
        return;
    }
    handle_reply(message);
}

void result_exchange::handle_reply(const peer_message& message) {
    auto reply = wire::decode<result_reply>(message.body);
    if (!reply) {
        log_.write(log_event::peer_frame_refused,
                   "from=" + message.from.text() + " reason=\"" +
                       reply.reason().detail + '"');
        return;
    }
    const auto found = waiting_.find(reply->number);
    const bool is_expected =
        found != waiting_.end() && found->second->planner == message.from &&
        is_reply_for(*reply, found->second->job, found->second->first);
    if (!is_expected) {
        log_.write(log_event::peer_reply_unmatched,
                   "topic=result_reply from=" + message.from.text() +
                       " number=" + std::to_string(reply->number) +
                       " job=" + reply->job.text() +
                       " first=" + std::to_string(reply->first));
        return;
    }
    found->second->reply = std::move(*reply);
    found->second->timer.cancel();
}

asio::awaitable<void> result_exchange::serve(instance_id reader,
                                             result_request request) {
    const job_id job = request.job;
    const steady_time begin = std::chrono::steady_clock::now();
    auto rows = co_await read_own(job, request.first, request.wait);
    result_reply reply{.number = request.number,
                       .is_known = rows.has_value(),
                       .first = request.first,
                       .job = job};
    if (rows) {
        reply.rows = std::move(*rows);
        const bool has_waited =
            request.wait.count() > 0 &&
            std::chrono::steady_clock::now() >= begin + request.wait;
        if (reply.rows.empty() && !has_waited) {
            log_.write(log_event::result_reply_empty,
                       "job=" + job.text() +
                           " first=" + std::to_string(request.first) +
                           " reader=" + reader.text() + " term=" +
                           std::to_string(lookups_.own_term_of(job)));
        }
    }
    send(reader, peer_topic::result_reply, wire::encode(reply));
}

} // namespace savorydock
