#include "http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <new>
#include <utility>

namespace crocuswood::wire {

namespace {

// Enough for a burst of placements or results without waiting for an update.
constexpr std::int32_t WindowBytes = 8 * 1024 * 1024;
// A write gathers frames up to about this size.
constexpr std::size_t MaxWriteBytes = 1024UL * 1024;
// Answers to a peer's SETTINGS and PING frames that may wait for the socket.
constexpr std::size_t MaxWaitingAnswers = 64;
// Taken bytes at the front of the unsent ones are cut off beyond this size.
constexpr std::size_t CompactionBytes = 256UL * 1024;

constexpr std::string_view LinkMethod = "POST";
constexpr std::string_view LinkPath = "/link";
constexpr std::string_view AcceptedStatus = "200";

// nghttp2 copies header fields; its structure only lacks the const.
nghttp2_nv makeField(std::string_view Name, std::string_view Value) {
  const auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::string_view toView(const std::uint8_t *Bytes, std::size_t Size) {
  return {reinterpret_cast<const char *>(Bytes), Size};
}

void check(int Status) {
  if (Status == NGHTTP2_ERR_NOMEM) {
    throw std::bad_alloc();
  }
}

} // namespace

class http2_session::implementation {
public:
  explicit implementation(session_role Role) : Role(Role) {
    createSession();
    submitSettings();
    if (Role == session_role::Client) {
      submitRequest();
    }
  }

  std::optional<std::string> receive(std::string_view Bytes) {
    const ssize_t Taken = nghttp2_session_mem_recv(
        Session.get(), reinterpret_cast<const std::uint8_t *>(Bytes.data()),
        Bytes.size());
    if (!Fault.empty()) {
      return Fault;
    }
    if (Taken < 0) {
      return std::string(nghttp2_strerror(static_cast<int>(Taken)));
    }
    return std::nullopt;
  }

  std::optional<std::string> collectOutput(std::string &Out) {
    if (Deferred && (getUnsentBytes() > 0 || Finishing)) {
      Deferred = false;
      nghttp2_session_resume_data(Session.get(), Stream);
    }
    while (Out.size() < MaxWriteBytes) {
      const std::uint8_t *Bytes = nullptr;
      const ssize_t Size = nghttp2_session_mem_send(Session.get(), &Bytes);
      if (Size < 0) {
        return std::string(nghttp2_strerror(static_cast<int>(Size)));
      }
      if (Size == 0) {
        break;
      }
      Out.append(toView(Bytes, static_cast<std::size_t>(Size)));
    }
    return std::nullopt;
  }

  std::string &getUnsent() { return Unsent; }
  std::size_t getUnsentBytes() const { return Unsent.size() - UnsentTaken; }
  void finish() { Finishing = true; }
  std::string takeReceived() { return std::exchange(Received, {}); }
  bool isOpen() const { return Open; }
  bool hasEnded() const { return Ended; }
  bool isFinished() const { return Finished; }
  bool isOver() const {
    return nghttp2_session_want_read(Session.get()) == 0 &&
           nghttp2_session_want_write(Session.get()) == 0;
  }

private:
  struct session_deleter {
    void operator()(nghttp2_session *Value) const {
      nghttp2_session_del(Value);
    }
  };
  struct callbacks_deleter {
    void operator()(nghttp2_session_callbacks *Value) const {
      nghttp2_session_callbacks_del(Value);
    }
  };
  struct option_deleter {
    void operator()(nghttp2_option *Value) const { nghttp2_option_del(Value); }
  };

  void createSession() {
    nghttp2_session_callbacks *NewCallbacks = nullptr;
    check(nghttp2_session_callbacks_new(&NewCallbacks));
    const std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>
        Callbacks(NewCallbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(NewCallbacks,
                                                            onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(NewCallbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(NewCallbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(NewCallbacks,
                                                              onData);
    nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
        NewCallbacks, onInvalidFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(NewCallbacks,
                                                           onStreamClosed);
    nghttp2_option *NewOption = nullptr;
    check(nghttp2_option_new(&NewOption));
    const std::unique_ptr<nghttp2_option, option_deleter> Option(NewOption);
    nghttp2_option_set_no_closed_streams(NewOption, 1);
    nghttp2_option_set_max_outbound_ack(NewOption, MaxWaitingAnswers);

    const auto Create = Role == session_role::Client
                            ? nghttp2_session_client_new2
                            : nghttp2_session_server_new2;
    nghttp2_session *NewSession = nullptr;
    check(Create(&NewSession, NewCallbacks, this, NewOption));
    Session.reset(NewSession);
  }

  void submitSettings() {
    std::array<nghttp2_settings_entry, 2> Entries = {{
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes},
        {Role == session_role::Client ? NGHTTP2_SETTINGS_ENABLE_PUSH
                                      : NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
         Role == session_role::Client ? 0U : 1U},
    }};
    check(nghttp2_submit_settings(Session.get(), NGHTTP2_FLAG_NONE,
                                  Entries.data(), Entries.size()));
    // The settings cover the stream only; stream 0 is the whole connection.
    check(nghttp2_session_set_local_window_size(
        Session.get(), NGHTTP2_FLAG_NONE, 0, WindowBytes));
  }

  void submitRequest() {
    const std::array<nghttp2_nv, 4> Fields = {
        makeField(":method", LinkMethod), makeField(":scheme", "http"),
        makeField(":authority", "crocuswood"), makeField(":path", LinkPath)};
    nghttp2_data_provider Provider = makeProvider();
    Stream = nghttp2_submit_request(Session.get(), nullptr, Fields.data(),
                                    Fields.size(), &Provider, nullptr);
    check(Stream);
  }

  void submitResponse() {
    const std::array<nghttp2_nv, 1> Fields = {
        makeField(":status", AcceptedStatus)};
    nghttp2_data_provider Provider = makeProvider();
    check(nghttp2_submit_response(Session.get(), Stream, Fields.data(),
                                  Fields.size(), &Provider));
  }

  nghttp2_data_provider makeProvider() {
    nghttp2_data_provider Provider{};
    Provider.source.ptr = this;
    Provider.read_callback = readUnsent;
    return Provider;
  }

  ssize_t takeUnsent(std::uint8_t *Target, std::size_t Room,
                     std::uint32_t &Flags) {
    const std::size_t Size = std::min(Room, getUnsentBytes());
    if (Size == 0 && !Finishing) {
      Deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(Target, Unsent.data() + UnsentTaken, Size);
    UnsentTaken += Size;
    compactUnsent();
    if (Finishing && getUnsentBytes() == 0) {
      Flags |= NGHTTP2_DATA_FLAG_EOF;
      Finished = true;
    }
    return static_cast<ssize_t>(Size);
  }

  void compactUnsent() {
    if (UnsentTaken == Unsent.size()) {
      Unsent.clear();
      UnsentTaken = 0;
    } else if (UnsentTaken > CompactionBytes &&
               UnsentTaken > Unsent.size() / 2) {
      Unsent.erase(0, UnsentTaken);
      UnsentTaken = 0;
    }
  }

  int fail(std::string Reason) {
    Fault = std::move(Reason);
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  int beginHeaders(const nghttp2_frame &Frame) {
    if (Role == session_role::Client ||
        Frame.headers.cat != NGHTTP2_HCAT_REQUEST) {
      return 0;
    }
    if (Stream != 0) {
      return fail("the peer opened a second stream");
    }
    Stream = Frame.hd.stream_id;
    return 0;
  }

  void takeHeader(std::string_view Name, std::string_view Value) {
    MethodFits = MethodFits || (Name == ":method" && Value == LinkMethod);
    PathFits = PathFits || (Name == ":path" && Value == LinkPath);
    StatusFits = StatusFits || (Name == ":status" && Value == AcceptedStatus);
  }

  int takeFrame(const nghttp2_frame &Frame) {
    if (Frame.hd.type == NGHTTP2_GOAWAY) {
      Ended = true;
      return 0;
    }
    const bool OfStream =
        Frame.hd.type == NGHTTP2_HEADERS || Frame.hd.type == NGHTTP2_DATA;
    if (!OfStream || Frame.hd.stream_id != Stream) {
      return 0;
    }
    if (Frame.hd.type == NGHTTP2_HEADERS && !Open && !openLink()) {
      return fail("the peer does not speak the link protocol");
    }
    if ((Frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      Ended = true;
    }
    return 0;
  }

  bool openLink() {
    if (Role == session_role::Client) {
      Open = StatusFits;
      return Open;
    }
    Open = MethodFits && PathFits;
    if (Open) {
      submitResponse();
    }
    return Open;
  }

  static implementation &self(void *User) {
    return *static_cast<implementation *>(User);
  }

  static ssize_t readUnsent(nghttp2_session * /*Session*/,
                            std::int32_t /*Stream*/, std::uint8_t *Target,
                            std::size_t Room, std::uint32_t *Flags,
                            nghttp2_data_source *Source, void * /*User*/) {
    return self(Source->ptr).takeUnsent(Target, Room, *Flags);
  }

  static int onBeginHeaders(nghttp2_session * /*Session*/,
                            const nghttp2_frame *Frame, void *User) {
    return self(User).beginHeaders(*Frame);
  }

  static int onHeader(nghttp2_session * /*Session*/,
                      const nghttp2_frame * /*Frame*/, const std::uint8_t *Name,
                      std::size_t NameSize, const std::uint8_t *Value,
                      std::size_t ValueSize, std::uint8_t /*Flags*/,
                      void *User) {
    self(User).takeHeader(toView(Name, NameSize), toView(Value, ValueSize));
    return 0;
  }

  static int onFrame(nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
                     void *User) {
    return self(User).takeFrame(*Frame);
  }

  // A peer of ours sends none, so the connection ends instead of gathering
  // refusals for the peer.
  static int onInvalidFrame(nghttp2_session * /*Session*/,
                            const nghttp2_frame * /*Frame*/, int Error,
                            void *User) {
    return self(User).fail(nghttp2_strerror(Error));
  }

  static int onData(nghttp2_session * /*Session*/, std::uint8_t /*Flags*/,
                    std::int32_t StreamId, const std::uint8_t *Bytes,
                    std::size_t Size, void *User) {
    if (StreamId == self(User).Stream) {
      self(User).Received.append(toView(Bytes, Size));
    }
    return 0;
  }

  static int onStreamClosed(nghttp2_session * /*Session*/,
                            std::int32_t StreamId, std::uint32_t /*Error*/,
                            void *User) {
    if (StreamId == self(User).Stream) {
      self(User).Ended = true;
    }
    return 0;
  }

  session_role Role;
  std::unique_ptr<nghttp2_session, session_deleter> Session;
  std::int32_t Stream = 0;
  std::string Unsent;
  std::size_t UnsentTaken = 0;
  std::string Received;
  std::string Fault;
  bool MethodFits = false;
  bool PathFits = false;
  bool StatusFits = false;
  bool Open = false;
  bool Ended = false;
  bool Deferred = false;
  bool Finishing = false;
  bool Finished = false;
};

http2_session::http2_session(session_role Role)
    : Impl(std::make_unique<implementation>(Role)) {}

http2_session::~http2_session() = default;

std::optional<std::string> http2_session::receive(std::string_view Bytes) {
  return Impl->receive(Bytes);
}

std::optional<std::string> http2_session::collectOutput(std::string &Out) {
  return Impl->collectOutput(Out);
}

std::string &http2_session::getUnsent() { return Impl->getUnsent(); }

std::size_t http2_session::getUnsentBytes() const {
  return Impl->getUnsentBytes();
}

void http2_session::finish() { Impl->finish(); }

std::string http2_session::takeReceived() { return Impl->takeReceived(); }

bool http2_session::isOpen() const { return Impl->isOpen(); }

bool http2_session::hasEnded() const { return Impl->hasEnded(); }

bool http2_session::isOver() const { return Impl->isOver(); }

bool http2_session::isFinished() const { return Impl->isFinished(); }

} // namespace crocuswood::wire
