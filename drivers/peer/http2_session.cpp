#include "drivers/peer/http2_session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <span>
#include <utility>

namespace savorydock {

namespace {

constexpr std::string_view peer_path = "/peer";
constexpr std::size_t output_chunk_bytes = 65'536;
/// Fits a complete message of usual size without a window update.
constexpr std::uint32_t window_bytes = 1U << 20U;
/// Limit on queued SETTINGS and PING acknowledgements that a peer hasn't read.
constexpr std::size_t max_outbound_acks = 256;
constexpr unsigned status_not_found = 404;

struct stream {
    std::string body;
    std::size_t sent = 0;
    bool is_post = false;
    bool is_peer_path = false;
    bool is_refused = false;
    unsigned status = 0;
};

nghttp2_nv header(std::string_view name, std::string_view value) {
    // nghttp2 copies both strings and modifies neither.
    auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

std::string_view text_of(const std::uint8_t* data, std::size_t size) {
    return {reinterpret_cast<const char*>(data), size};
}

} // namespace

struct http2_session::state {
    http2_role role;
    http2_limits limits;
    http2_handlers handlers;
    nghttp2_session* session = nullptr;
    std::map<std::int32_t, stream> streams;
    std::size_t buffered = 0;
    bool has_received_goaway = false;

    stream* find(std::int32_t id) {
        const auto found = streams.find(id);
        return found == streams.end() ? nullptr : &found->second;
    }

    void release(stream& entry) {
        buffered -= entry.body.size();
        entry.body.clear();
    }

    void refuse_stream(std::int32_t id, stream& entry, const char* why) {
        entry.is_refused = true;
        release(entry);
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                  NGHTTP2_ENHANCE_YOUR_CALM);
        handlers.on_refused({result_code::bad_frame, why});
    }

    void on_data(std::int32_t id, std::string_view data) {
        stream* entry = find(id);
        if (entry == nullptr || entry->is_refused ||
            role != http2_role::server) {
            return;
        }
        if (entry->body.size() + data.size() > limits.max_body_bytes) {
            return refuse_stream(id, *entry, "message too large");
        }
        if (buffered + data.size() > limits.max_buffered_bytes) {
            return refuse_stream(id, *entry, "too many bytes in open streams");
        }
        if (handlers.may_keep && !handlers.may_keep(data.size())) {
            return refuse_stream(id, *entry, "too many bytes in all streams");
        }
        buffered += data.size();
        entry->body.append(data);
    }

    void answer_request(std::int32_t id) {
        stream* entry = find(id);
        if (entry == nullptr || entry->is_refused) {
            return;
        }
        unsigned status = status_not_found;
        if (entry->is_post && entry->is_peer_path) {
            buffered -= entry->body.size();
            status = handlers.on_request(std::exchange(entry->body, {}));
        } else {
            handlers.on_refused({result_code::bad_frame, "not POST /peer"});
        }
        const std::string text = std::to_string(status);
        const nghttp2_nv fields = header(":status", text);
        nghttp2_submit_response(session, id, &fields, 1, nullptr);
    }

    void on_header(std::int32_t id, std::string_view name,
                   std::string_view value) {
        stream* entry = find(id);
        if (entry == nullptr) {
            return;
        }
        if (name == ":method") {
            entry->is_post = value == "POST";
        } else if (name == ":path") {
            entry->is_peer_path = value == peer_path;
        } else if (name == ":status" && value.size() == 3) {
            entry->status =
                static_cast<unsigned>((value[0] - '0') * 100 +
                                      (value[1] - '0') * 10 + (value[2] - '0'));
        }
    }

    void on_frame(const nghttp2_frame& frame) {
        if (frame.hd.type == NGHTTP2_GOAWAY) {
            has_received_goaway = true;
        }
        const bool is_message =
            frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS;
        if (role == http2_role::server && is_message &&
            (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            answer_request(frame.hd.stream_id);
        }
    }

    void close_stream(std::int32_t id) {
        stream* entry = find(id);
        if (entry == nullptr) {
            return;
        }
        const unsigned status = entry->status;
        release(*entry);
        streams.erase(id);
        if (role == http2_role::client) {
            handlers.on_response(status);
        }
    }

    ssize_t read_body(std::int32_t id, std::span<std::uint8_t> into,
                      std::uint32_t& flags) {
        stream* entry = find(id);
        if (entry == nullptr) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t size =
            std::min(into.size(), entry->body.size() - entry->sent);
        std::memcpy(into.data(), entry->body.data() + entry->sent, size);
        entry->sent += size;
        if (entry->sent == entry->body.size()) {
            flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(size);
    }

    static state& of(void* user) { return *static_cast<state*>(user); }

    static nghttp2_session_callbacks* make_callbacks();
    void open();
};

nghttp2_session_callbacks* http2_session::state::make_callbacks() {
    nghttp2_session_callbacks* calls = nullptr;
    nghttp2_session_callbacks_new(&calls);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        calls, [](nghttp2_session*, const nghttp2_frame* frame, void* user) {
            if (of(user).role == http2_role::server) {
                of(user).streams.try_emplace(frame->hd.stream_id);
            }
            return 0;
        });
    nghttp2_session_callbacks_set_on_header_callback(
        calls, [](nghttp2_session*, const nghttp2_frame* frame,
                  const std::uint8_t* name, std::size_t name_size,
                  const std::uint8_t* value, std::size_t value_size,
                  std::uint8_t, void* user) {
            of(user).on_header(frame->hd.stream_id, text_of(name, name_size),
                               text_of(value, value_size));
            return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        calls, [](nghttp2_session*, std::uint8_t, std::int32_t id,
                  const std::uint8_t* data, std::size_t size, void* user) {
            of(user).on_data(id, text_of(data, size));
            return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        calls, [](nghttp2_session*, const nghttp2_frame* frame, void* user) {
            of(user).on_frame(*frame);
            return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        calls,
        [](nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
            of(user).close_stream(id);
            return 0;
        });
    return calls;
}

void http2_session::state::open() {
    nghttp2_session_callbacks* calls = make_callbacks();
    nghttp2_option* option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_max_outbound_ack(option, max_outbound_acks);
    if (role == http2_role::server) {
        nghttp2_session_server_new2(&session, calls, this, option);
    } else {
        nghttp2_session_client_new2(&session, calls, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(calls);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               limits.max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               window_bytes},
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
}

http2_session::http2_session(http2_role role, http2_limits limits,
                             http2_handlers handlers)
    : state_(std::make_unique<state>()) {
    state_->role = role;
    state_->limits = limits;
    state_->handlers = std::move(handlers);
    state_->open();
}

http2_session::~http2_session() {
    nghttp2_session_del(state_->session);
}

bool http2_session::submit(std::string body) {
    if (body.size() > state_->limits.max_body_bytes ||
        state_->streams.size() >= state_->limits.max_streams ||
        state_->buffered + body.size() > state_->limits.max_buffered_bytes) {
        return false;
    }
    const std::array fields{
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":path", peer_path),
        header(":authority", "peer"),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = [](nghttp2_session*, std::int32_t id,
                                std::uint8_t* into, std::size_t size,
                                std::uint32_t* flags, nghttp2_data_source*,
                                void* user) -> ssize_t {
        return state::of(user).read_body(id, {into, size}, *flags);
    };
    const std::int32_t id =
        nghttp2_submit_request(state_->session, nullptr, fields.data(),
                               fields.size(), &provider, nullptr);
    if (id < 0) {
        return false;
    }
    state_->buffered += body.size();
    state_->streams[id].body = std::move(body);
    return true;
}

outcome<done> http2_session::receive(std::string_view bytes) {
    const ssize_t taken = nghttp2_session_mem_recv(
        state_->session, reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    if (taken < 0) {
        return failure{result_code::bad_frame,
                       nghttp2_strerror(static_cast<int>(taken))};
    }
    return done{};
}

bool http2_session::is_violated() const {
    return nghttp2_session_want_read(state_->session) == 0 &&
           !state_->has_received_goaway;
}

std::string http2_session::take_output() {
    std::string output;
    while (output.size() < output_chunk_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(state_->session, &data);
        if (size <= 0) {
            break;
        }
        output.append(text_of(data, static_cast<std::size_t>(size)));
    }
    return output;
}

std::size_t http2_session::open_streams() const {
    return state_->streams.size();
}

std::size_t http2_session::buffered_bytes() const {
    return state_->buffered;
}

} // namespace savorydock
