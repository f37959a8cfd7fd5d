#include "peer/internal/session.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>
#include <openssl/ssl.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace daisyhaven::peer::internal {

namespace {

constexpr std::uint32_t MaxConcurrentStreams = 10'000;
constexpr std::int32_t WindowBytes = 16 * 1024 * 1024;
// Output is taken from the session only while the connection holds less than this. What stays in
// the session is freed when its stream is cancelled.
constexpr std::size_t MaxBufferedOutput = 64UL * 1024; // bytes
constexpr std::size_t OutputRefillThreshold = 32UL * 1024; // bytes
// Identity of every client on a connection without authentication.
constexpr const char *UnauthenticatedIdentity = "vm:unproven";
constexpr const char *ResultHeader = "dh-result";

nghttp2_nv makeHeader(const std::string &name, const std::string &value)
{
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return { nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

void disableNagle(bufferevent *connection)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int parseNumber(std::string_view text)
{
    int number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

// Callbacks for the C interfaces of nghttp2 and libevent, which take free or static functions.
struct SessionCallbacks
{
    static Session &sessionOf(void *user) { return *static_cast<Session *>(user); }

    static int onBeginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        Session::Stream &stream = sessionOf(user).streams_[frame->hd.stream_id];
        stream.incoming.streamId = frame->hd.stream_id;
        return 0;
    }

    static int onHeader(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                        const std::uint8_t *name, size_t nameLength, const std::uint8_t *value,
                        size_t valueLength, std::uint8_t /*flags*/, void *user)
    {
        const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
        const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
        Message &message = sessionOf(user).streams_[frame->hd.stream_id].incoming;
        if (key == ":path") {
            message.path = text;
        } else if (key == ":status") {
            message.status = parseNumber(text);
        } else if (key == ResultHeader) {
            message.resultNumber = parseNumber(text);
        }
        return 0;
    }

    static int onData(nghttp2_session *session, std::uint8_t /*flags*/, std::int32_t streamId,
                      const std::uint8_t *data, size_t length, void *user)
    {
        Message &message = sessionOf(user).streams_[streamId].incoming;
        if (message.body.size() + length > MaxMessageBytes) {
            return nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, streamId,
                                             NGHTTP2_REFUSED_STREAM);
        }
        message.body.append(reinterpret_cast<const char *>(data), length);
        return 0;
    }

    static int onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        const bool carriesBody =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!endsStream || !carriesBody) {
            return 0;
        }
        Session &session = sessionOf(user);
        session.finishedMessages_.push_back(
            std::move(session.streams_[frame->hd.stream_id].incoming));
        session.finishedMessages_.back().streamId = frame->hd.stream_id;
        ++mutableTraffic().messagesReceived;
        return 0;
    }

    static int onStreamClose(nghttp2_session * /*session*/, std::int32_t streamId,
                             std::uint32_t errorCode, void *user)
    {
        Session &session = sessionOf(user);
        session.streams_.erase(streamId);
        if (errorCode != NGHTTP2_NO_ERROR) {
            Message message;
            message.streamId = streamId;
            message.aborted = true;
            session.finishedMessages_.push_back(std::move(message));
        }
        return 0;
    }

    static ssize_t onReadOutgoingBody(nghttp2_session * /*session*/, std::int32_t streamId,
                                      std::uint8_t *buffer, size_t length, std::uint32_t *flags,
                                      nghttp2_data_source * /*source*/, void *user)
    {
        Session::Stream &stream = sessionOf(user).streams_[streamId];
        const std::size_t count = std::min(length, stream.outgoing.size() - stream.outgoingOffset);
        std::copy_n(stream.outgoing.begin() + static_cast<std::ptrdiff_t>(stream.outgoingOffset),
                    count, buffer);
        stream.outgoingOffset += count;
        if (stream.outgoingOffset == stream.outgoing.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }

    static void onReadable(bufferevent * /*connection*/, void *user)
    {
        sessionOf(user).processInput();
    }

    // Runs when the output has fallen to OutputRefillThreshold.
    static void onWritable(bufferevent * /*connection*/, void *user)
    {
        sessionOf(user).flushOutput();
    }

    static void onEvent(bufferevent * /*connection*/, short what, void *user)
    {
        sessionOf(user).handleEvent(what);
    }
};

TrafficCounters &mutableTraffic()
{
    static TrafficCounters traffic;
    return traffic;
}

bufferevent *makeConnection(event_base *base, int socket, ssl_ctx_st *context,
                            Protection protection)
{
    constexpr int Options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
    if (protection == Protection::None) {
        return bufferevent_socket_new(base, socket, Options);
    }
    SSL *ssl = SSL_new(context);
    const auto state = socket < 0 ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING;
    bufferevent *connection = bufferevent_openssl_socket_new(base, socket, ssl, state, Options);
    if (connection == nullptr) {
        SSL_free(ssl);
    }
    return connection;
}

Session::Session(bufferevent *connection, bool isServer, Protection protection, Callbacks callbacks)
    : connection_(connection), callbacks_(std::move(callbacks)), isServer_(isServer),
      protection_(protection), lastReceived_(monotonicNow())
{
    nghttp2_session_callbacks *nghttp2Callbacks = nullptr;
    nghttp2_session_callbacks_new(&nghttp2Callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(nghttp2Callbacks,
                                                            &SessionCallbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(nghttp2Callbacks, &SessionCallbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(nghttp2Callbacks,
                                                              &SessionCallbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(nghttp2Callbacks,
                                                         &SessionCallbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(nghttp2Callbacks,
                                                           &SessionCallbacks::onStreamClose);
    if (isServer) {
        // Closed streams would be kept for priorities, which calls do not use.
        nghttp2_option *options = nullptr;
        nghttp2_option_new(&options);
        nghttp2_option_set_no_closed_streams(options, 1);
        nghttp2_session_server_new2(&session_, nghttp2Callbacks, this, options);
        nghttp2_option_del(options);
    } else {
        nghttp2_session_client_new(&session_, nghttp2Callbacks, this);
    }
    nghttp2_session_callbacks_del(nghttp2Callbacks);
    const nghttp2_settings_entry settings[] {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(WindowBytes) },
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, WindowBytes);
    bufferevent_setcb(connection_, &SessionCallbacks::onReadable, &SessionCallbacks::onWritable,
                      &SessionCallbacks::onEvent, this);
    bufferevent_setwatermark(connection_, EV_WRITE, OutputRefillThreshold, 0);
    bufferevent_enable(connection_, EV_READ | EV_WRITE);
    disableNagle(connection_);
    if (isServer && protection == Protection::None) {
        completeHandshake();
    }
}

Session::~Session()
{
    *alive_ = false;
    nghttp2_session_del(session_);
    bufferevent_free(connection_);
}

std::int32_t Session::sendRequest(const std::string &path, std::string body)
{
    static const std::string MethodName = ":method";
    static const std::string PostValue = "POST";
    static const std::string SchemeName = ":scheme";
    static const std::string HttpsValue = "https";
    static const std::string PathName = ":path";
    static const std::string AuthorityName = ":authority";
    static const std::string AuthorityValue = "vm";
    const nghttp2_nv headers[] { makeHeader(MethodName, PostValue),
                                 makeHeader(SchemeName, HttpsValue), makeHeader(PathName, path),
                                 makeHeader(AuthorityName, AuthorityValue) };
    nghttp2_data_provider provider {};
    provider.read_callback = &SessionCallbacks::onReadOutgoingBody;
    const std::int32_t streamId =
        nghttp2_submit_request(session_, nullptr, headers, std::size(headers), &provider, nullptr);
    if (streamId < 0) {
        return streamId;
    }
    streams_[streamId].outgoing = std::move(body);
    ++mutableTraffic().messagesSent;
    flushOutput();
    return streamId;
}

void Session::respond(std::int32_t streamId, const Reply &reply)
{
    const auto found = streams_.find(streamId);
    if (found == streams_.end()) {
        return;
    }
    static const std::string StatusName = ":status";
    static const std::string ResultName = ResultHeader;
    const auto *failure = std::get_if<Failure>(&reply);
    const std::string status = failure == nullptr ? "200" : "500";
    const std::string number =
        std::to_string(failure == nullptr ? 0 : static_cast<int>(failure->code));
    found->second.outgoing = failure == nullptr ? std::get<std::string>(reply) : failure->detail;
    const nghttp2_nv headers[] { makeHeader(StatusName, status), makeHeader(ResultName, number) };
    nghttp2_data_provider provider {};
    provider.read_callback = &SessionCallbacks::onReadOutgoingBody;
    nghttp2_submit_response(session_, streamId, headers, std::size(headers), &provider);
    ++mutableTraffic().messagesSent;
    flushOutput();
}

void Session::cancelStream(std::int32_t streamId)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    flushOutput();
}

void Session::sendPing()
{
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flushOutput();
}

void Session::processInput()
{
    evbuffer *input = bufferevent_get_input(connection_);
    lastReceived_ = monotonicNow();
    const std::size_t length = evbuffer_get_length(input);
    mutableTraffic().bytesReceived += length;
    const unsigned char *bytes = evbuffer_pullup(input, -1);
    const ssize_t consumed = nghttp2_session_mem_recv(session_, bytes, length);
    if (consumed < 0) {
        callbacks_.closed("invalid HTTP/2 data received");
        return;
    }
    evbuffer_drain(input, static_cast<std::size_t>(consumed));
    std::vector<Message> finished;
    finished.swap(finishedMessages_);
    const std::shared_ptr<bool> alive = alive_;
    for (Message &message : finished) {
        callbacks_.message(std::move(message));
        if (!*alive) {
            return;
        }
    }
    flushOutput();
}

void Session::flushOutput()
{
    if (!established_) {
        return;
    }
    evbuffer *output = bufferevent_get_output(connection_);
    while (evbuffer_get_length(output) < MaxBufferedOutput) {
        const std::uint8_t *data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(session_, &data);
        if (length <= 0) {
            return;
        }
        mutableTraffic().bytesSent += static_cast<std::uint64_t>(length);
        evbuffer_add(output, data, static_cast<std::size_t>(length));
    }
}

std::size_t Session::unsentBytes() const
{
    std::size_t bytes = evbuffer_get_length(bufferevent_get_output(connection_));
    for (const auto &[streamId, stream] : streams_) {
        bytes += stream.outgoing.size() - stream.outgoingOffset;
    }
    return bytes;
}

std::string Session::authenticatedIdentity() const
{
    if (protection_ == Protection::None) {
        return UnauthenticatedIdentity;
    }
    const char *identity = SSL_get_psk_identity(bufferevent_openssl_get_ssl(connection_));
    return identity == nullptr ? "" : identity;
}

void Session::completeHandshake()
{
    established_ = true;
    identity_ = isServer_ ? authenticatedIdentity() : "";
    disableNagle(connection_);
    const std::shared_ptr<bool> alive = alive_;
    if (callbacks_.connected) {
        callbacks_.connected();
    }
    if (*alive) {
        flushOutput();
    }
}

void Session::handleEvent(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        completeHandshake();
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        callbacks_.closed(established_ ? "connection closed or reset"
                                       : "connection could not be established");
    }
}

} // namespace daisyhaven::peer::internal
