#include "servers/batch/message_parts.hpp"

#include <utility>

namespace savorydock {

namespace {

/// Upper limit on the size of a task's or a run's other members.
constexpr std::size_t fixed_bytes = 256;

std::size_t encoded_size(const run_delta& delta) {
    return fixed_bytes + delta.text.size() +
           delta.versions.size() * sizeof(weight_version);
}

std::size_t encoded_size(const run_report& report) {
    return encoded_size(report.last_delta);
}

std::size_t encoded_size(const held_run& held) {
    return 2 * fixed_bytes + held.text.size() + held.score.size() +
           held.versions.size() * sizeof(weight_version);
}

/// Collects parts of a message; a new part begins before the one in progress
/// would exceed the limit.
template <class Message>
class part_list {
public:
    part_list(Message first, std::size_t max_bytes)
        : max_bytes_(max_bytes) {
        parts_.push_back(std::move(first));
    }

    /// Adds rows to a member of the message. `make_next` returns the message
    /// that a further part begins with.
    template <class Row, class MakeNext>
    void add(std::vector<Row> Message::*member, std::vector<Row> rows,
             const MakeNext& make_next) {
        for (Row& row : rows) {
            const std::size_t size = encoded_size(row);
            if (bytes_ > 0 && bytes_ + size > max_bytes_) {
                parts_.push_back(make_next());
                bytes_ = 0;
            }
            bytes_ += size;
            (parts_.back().*member).push_back(std::move(row));
        }
    }

    [[nodiscard]] std::vector<Message> take() { return std::move(parts_); }

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::vector<Message> parts_;
};

} // namespace

std::size_t encoded_size(const run_task& task) {
    std::size_t size = 2 * fixed_bytes + task.id.size() + task.host.size() +
                       task.path.size() + task.body.size() + task.text.size() +
                       task.versions.size() * sizeof(weight_version);
    for (const run_header& header : task.headers) {
        size += header.name.size() + header.value.size() + 2 * sizeof(size);
    }
    return size;
}

std::vector<runner_command> split(runner_command order, std::size_t max_bytes) {
    std::vector<run_task> tasks = std::exchange(order.tasks, {});
    const auto make_next = [service = order.service, term = order.term] {
        return runner_command{.service = service, .term = term};
    };
    part_list<runner_command> parts(std::move(order), max_bytes);
    parts.add(&runner_command::tasks, std::move(tasks), make_next);
    return parts.take();
}

std::vector<runner_update> split(runner_update update, std::size_t max_bytes) {
    auto ends = std::exchange(update.ends, {});
    auto deltas = std::exchange(update.deltas, {});
    auto held = std::exchange(update.held, {});
    const auto make_next = [service = update.service,
                            term = update.takeover_term] {
        return runner_update{.service = service, .takeover_term = term};
    };
    part_list<runner_update> list(std::move(update), max_bytes);
    list.add(&runner_update::deltas, std::move(deltas), make_next);
    list.add(&runner_update::ends, std::move(ends), make_next);
    list.add(&runner_update::held, std::move(held), make_next);
    auto parts = list.take();
    for (std::size_t at = 0; at + 1 < parts.size(); ++at) {
        parts[at].has_more = true;
    }
    return parts;
}

} // namespace savorydock
