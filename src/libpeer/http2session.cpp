#include "http2session.h"

#include <algorithm>
#include <array>
#include <new>

namespace currantring {

namespace {

constexpr std::uint32_t maximumStreams = 128;
constexpr std::uint32_t maximumFrameBytes = 65'536;
constexpr std::uint32_t streamWindowBytes = 262'144;
constexpr std::int32_t connectionWindowBytes = 2'000'000;
constexpr std::uint32_t maximumHeaderBytes = 4096;
constexpr std::size_t maximumHeldValueBytes = 256;

constexpr std::string_view messagePath = "/v1/messages";
constexpr std::string_view senderHeader = "currantring-host";
constexpr std::string_view confirmedStatus = "204";

std::uint8_t *mutableBytes(std::string_view text)
{
    // nghttp2 doesn't write to what it is given, but its type lacks the const.
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
}

nghttp2_nv header(std::string_view name, std::string_view value)
{
    return { mutableBytes(name), mutableBytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

Http2Session &sessionOf(void *user)
{
    return *static_cast<Http2Session *>(user);
}

std::string_view view(const std::uint8_t *bytes, std::size_t size)
{
    return { reinterpret_cast<const char *>(bytes), size };
}

template<typename Pointer, typename Create>
std::unique_ptr<Pointer, void (*)(Pointer *)> create(Create make, void (*destroy)(Pointer *))
{
    Pointer *pointer = nullptr;
    if (make(&pointer) != 0) {
        throw std::bad_alloc();
    }
    return { pointer, destroy };
}

} // namespace

/** Passes the library's calls on to the session. */
struct Http2Session::Callbacks
{
    static int onBeginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        sessionOf(user).beginStream(frame->hd.stream_id);
        return 0;
    }

    static int onHeader(nghttp2_session * /*session*/, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize, std::uint8_t /*flags*/,
                        void *user)
    {
        sessionOf(user).takeHeader(frame->hd.stream_id, view(name, nameSize), view(value, valueSize));
        return 0;
    }

    static int onData(nghttp2_session * /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                      const std::uint8_t *data, std::size_t size, void *user)
    {
        sessionOf(user).takeData(stream, view(data, size));
        return 0;
    }

    static int onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        sessionOf(user).takeFrame(*frame);
        return 0;
    }

    static int onFrameSent(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
    {
        sessionOf(user).noteSent(*frame);
        return 0;
    }

    static int onStreamClose(nghttp2_session * /*session*/, std::int32_t stream, std::uint32_t error, void *user)
    {
        sessionOf(user).endStream(stream, error);
        return 0;
    }

    static ssize_t onReadBody(nghttp2_session * /*session*/, std::int32_t stream, std::uint8_t *target,
                              std::size_t size, std::uint32_t *flags, nghttp2_data_source * /*source*/, void *user)
    {
        return sessionOf(user).readBody(stream, target, size, *flags);
    }

    static std::unique_ptr<nghttp2_session, void (*)(nghttp2_session *)> makeSession(Role role, void *user)
    {
        const auto callbacks =
            create<nghttp2_session_callbacks>(nghttp2_session_callbacks_new, nghttp2_session_callbacks_del);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks.get(), onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks.get(), onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks.get(), onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks.get(), onFrame);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks.get(), onFrameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks.get(), onStreamClose);
        const auto options = create<nghttp2_option>(nghttp2_option_new, nghttp2_option_del);
        nghttp2_option_set_no_closed_streams(options.get(), 1);
        const auto make = [&](nghttp2_session **session) {
            return role == Role::Client ? nghttp2_session_client_new2(session, callbacks.get(), user, options.get())
                                        : nghttp2_session_server_new2(session, callbacks.get(), user, options.get());
        };
        return create<nghttp2_session>(make, nghttp2_session_del);
    }
};

Http2Session::Http2Session(Role role, HostId self, Http2Limits limits, Handlers handlers)
    : m_role(role)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_handlers(std::move(handlers))
    , m_session(Callbacks::makeSession(role, this))
{
    const std::array<nghttp2_settings_entry, 5> settings { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maximumStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_FRAME_SIZE, maximumFrameBytes },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maximumHeaderBytes },
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    } };
    // Only a client may say that it takes no pushes.
    const std::size_t count = role == Role::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(m_session.get(), NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

Http2Session::~Http2Session() = default;

void Http2Session::receive(std::string_view bytes)
{
    if (m_isBroken) {
        return;
    }
    const ssize_t taken = nghttp2_session_mem_recv(m_session.get(), mutableBytes(bytes), bytes.size());
    if (taken < 0) {
        m_isBroken = true;
        nghttp2_session_terminate_session(m_session.get(), NGHTTP2_PROTOCOL_ERROR);
    }
}

void Http2Session::produce(std::string &out, std::size_t limit)
{
    while (out.size() < limit) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session.get(), &data);
        if (size <= 0) {
            m_isBroken = m_isBroken || size < 0;
            return;
        }
        out += view(data, static_cast<std::size_t>(size));
    }
}

bool Http2Session::isOver() const
{
    return nghttp2_session_want_write(m_session.get()) == 0
        && (m_isBroken || nghttp2_session_want_read(m_session.get()) == 0);
}

std::size_t Http2Session::unfinished() const
{
    return m_outgoing.size();
}

bool Http2Session::submit(std::string bytes)
{
    const std::array<nghttp2_nv, 5> headers {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", "peer"),
        header(":path", messagePath),
        header(senderHeader, m_self.value()),
    };
    nghttp2_data_provider body { { .ptr = nullptr }, Callbacks::onReadBody };
    const std::int32_t stream =
        nghttp2_submit_request(m_session.get(), nullptr, headers.data(), headers.size(), &body, nullptr);
    if (stream < 0) {
        return false;
    }
    m_outgoing[stream].bytes = std::move(bytes);
    return true;
}

void Http2Session::ping()
{
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Session::terminate()
{
    nghttp2_session_terminate_session(m_session.get(), NGHTTP2_NO_ERROR);
}

void Http2Session::beginStream(std::int32_t stream)
{
    if (m_role == Role::Server) {
        m_incoming.try_emplace(stream);
    }
}

void Http2Session::takeHeader(std::int32_t stream, std::string_view name, std::string_view value)
{
    if (const auto outgoing = m_outgoing.find(stream); outgoing != m_outgoing.end()) {
        outgoing->second.isConfirmed = outgoing->second.isConfirmed || (name == ":status" && value == confirmedStatus);
        return;
    }
    const auto incoming = m_incoming.find(stream);
    // No accepted value is longer; dropping longer ones bounds the memory of many streams.
    if (incoming == m_incoming.end() || value.size() > maximumHeldValueBytes) {
        return;
    }
    if (name == ":method") {
        incoming->second.method = value;
    } else if (name == ":path") {
        incoming->second.path = value;
    } else if (name == senderHeader) {
        incoming->second.sender = HostId(std::string(value));
    }
}

void Http2Session::takeData(std::int32_t stream, std::string_view data)
{
    const auto incoming = m_incoming.find(stream);
    if (incoming == m_incoming.end() || incoming->second.isRefused) {
        return;
    }
    std::string &body = incoming->second.body;
    if (body.size() + data.size() > m_limits.maximumMessageBytes
        || m_bufferedBytes + data.size() > m_limits.maximumBufferedBytes) {
        m_handlers.onOversize();
        refuse(stream, NGHTTP2_CANCEL);
        return;
    }
    body += data;
    m_bufferedBytes += data.size();
}

void Http2Session::refuse(std::int32_t stream, std::uint32_t error)
{
    Incoming &incoming = m_incoming[stream];
    incoming.isRefused = true;
    m_bufferedBytes -= incoming.body.size();
    std::string().swap(incoming.body);
    nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream, error);
}

void Http2Session::takeFrame(const nghttp2_frame &frame)
{
    if (frame.hd.type == NGHTTP2_SETTINGS && !m_isReady) {
        m_isReady = true;
        m_handlers.onReady();
    }
    const bool endsStream = (frame.hd.type == NGHTTP2_DATA || frame.hd.type == NGHTTP2_HEADERS)
        && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (m_role == Role::Server && endsStream) {
        finishRequest(frame.hd.stream_id);
    }
}

void Http2Session::finishRequest(std::int32_t stream)
{
    const auto found = m_incoming.find(stream);
    if (found == m_incoming.end() || found->second.isRefused) {
        return;
    }
    Incoming &incoming = found->second;
    const bool isAddressed =
        incoming.method == "POST" && incoming.path == messagePath && !incoming.sender.value().empty();
    m_bufferedBytes -= incoming.body.size();
    std::string bytes = std::exchange(incoming.body, {});
    if (!isAddressed || !m_handlers.onMessage(incoming.sender, std::move(bytes))) {
        m_handlers.onGarbage(isAddressed ? "undecodable message" : "request for something else");
        refuse(stream, NGHTTP2_PROTOCOL_ERROR);
        return;
    }
    const nghttp2_nv status = header(":status", confirmedStatus);
    nghttp2_submit_response(m_session.get(), stream, &status, 1, nullptr);
}

void Http2Session::endStream(std::int32_t stream, std::uint32_t error)
{
    if (auto outgoing = m_outgoing.extract(stream); !outgoing.empty()) {
        const Outgoing &message = outgoing.mapped();
        m_handlers.onDone(message.bytes.size(), error == NGHTTP2_NO_ERROR && message.isConfirmed);
    }
    if (const auto incoming = m_incoming.extract(stream); !incoming.empty()) {
        m_bufferedBytes -= incoming.mapped().body.size();
    }
}

void Http2Session::noteSent(const nghttp2_frame &frame)
{
    if (frame.hd.type == NGHTTP2_GOAWAY && frame.goaway.error_code != NGHTTP2_NO_ERROR) {
        m_handlers.onGarbage(nghttp2_http2_strerror(frame.goaway.error_code));
    }
}

ssize_t Http2Session::readBody(std::int32_t stream, std::uint8_t *target, std::size_t size, std::uint32_t &flags)
{
    const auto outgoing = m_outgoing.find(stream);
    if (outgoing == m_outgoing.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Outgoing &message = outgoing->second;
    const std::size_t count = std::min(size, message.bytes.size() - message.offset);
    std::copy_n(message.bytes.data() + message.offset, count, target);
    message.offset += count;
    if (message.offset == message.bytes.size()) {
        flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace currantring
