#include "entry/internal/endpointserver.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace daisyhaven::entry {

namespace {

constexpr ev_ssize_t MaxBodyBytes = 64L * 1024;
constexpr ev_ssize_t MaxHeaderBytes = 16L * 1024;
constexpr int IdleTimeoutSeconds = 30;

std::string bodyOf(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(input);
    std::string body(length, '\0');
    evbuffer_copyout(input, body.data(), length);
    return body;
}

} // namespace

Result<std::unique_ptr<EndpointServer>> EndpointServer::create(event_base *base,
                                                               const peer::Address &address)
{
    std::unique_ptr<EndpointServer> server(new EndpointServer(evhttp_new(base)));
    evhttp_set_max_body_size(server->httpServer_, MaxBodyBytes);
    evhttp_set_max_headers_size(server->httpServer_, MaxHeaderBytes);
    evhttp_set_timeout(server->httpServer_, IdleTimeoutSeconds);
    evhttp_set_allowed_methods(server->httpServer_, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(server->httpServer_, &EndpointServer::handleRequest, server.get());
    if (evhttp_bind_socket(server->httpServer_, address.host.c_str(), address.port) != 0) {
        return fail(ResultCode::SettingsInvalid, "cannot listen on " + address.toString());
    }
    return server;
}

EndpointServer::~EndpointServer()
{
    evhttp_free(httpServer_);
}

void EndpointServer::addHandler(const std::string &path, Handler handler)
{
    handlers_[path] = std::move(handler);
}

void EndpointServer::handleRequest(evhttp_request *request, void *user)
{
    const auto *self = static_cast<EndpointServer *>(user);
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    const auto handler = self->handlers_.find(path == nullptr ? "" : path);
    EndpointResponse response;
    if (handler == self->handlers_.end()) {
        response = { 404, "text/plain", "no such endpoint\n" };
    } else {
        const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
        response = handler->second({ post ? "POST" : "GET", bodyOf(request) });
    }
    evbuffer *output = evbuffer_new();
    evbuffer_add(output, response.body.data(), response.body.size());
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      response.contentType.c_str());
    evhttp_send_reply(request, response.status, nullptr, output);
    evbuffer_free(output);
}

} // namespace daisyhaven::entry
