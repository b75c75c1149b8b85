#pragma once

#include "servers/control_server.hpp"
#include "servers/explain/decision_log.hpp"

#include <boost/describe.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorydock {

/// Requests an instance's record of a subject, or is the answer to such a
/// request.
struct explain_message {
    std::uint64_t question_id = 0;
    bool is_answer = false;
    std::string subject;
    decision_record record;
};
BOOST_DESCRIBE_STRUCT(explain_message, (),
                      (question_id, is_answer, subject, record))

/// The records of one subject from all instances that answered.
struct explanation {
    std::string subject;
    std::map<instance_id, decision_record> records;
    /// Instances that answered, with or without a record.
    std::vector<instance_id> answered;
    /// Instances that didn't answer within the timeout.
    std::vector<instance_id> silent;
};

struct explain_options {
    instance_id instance;
    /// How long to wait for answers of peers.
    std::chrono::milliseconds timeout{1'000};
    /// Number of the first question. Random, so that answers to an earlier
    /// process of the instance match no question of this one.
    std::uint64_t first_question = 1;
};

/// Collects the decision records about a subject from all instances, and
/// answers such requests from the local log. The log must outlive the server.
class explain_server final : public control_server {
public:
    using answer_handler = std::function<void(explanation)>;

    explain_server(explain_options options, const decision_log& decisions)
        : options_(std::move(options))
        , decisions_(decisions)
        , next_question_id_(options_.first_question) {}

    [[nodiscard]] peer_topic topic() const override {
        return peer_topic::explain;
    }

    /// Sets the instances to query.
    void set_peers(std::vector<instance_id> peers);

    /// Queries all peers. Calls `answer` once, when all have answered or the
    /// timeout has passed; immediately if there are no peers.
    void query(const std::string& subject, answer_handler answer,
               steady_time now, command_list& out);

    void on_tick(steady_time now, command_list& out) override;
    void on_peer_message(const peer_message& message, steady_time now,
                         command_list& out) override;

private:
    struct pending_question {
        explanation explanation_so_far;
        std::set<instance_id> awaited_peers;
        steady_time deadline{};
        answer_handler answer;
    };

    void on_answer(const instance_id& from, explain_message message);
    static void finish(pending_question& pending);

    explain_options options_;
    const decision_log& decisions_;
    std::vector<instance_id> peers_;
    std::map<std::uint64_t, pending_question> pending_questions_;
    std::uint64_t next_question_id_;
};

} // namespace savorydock
