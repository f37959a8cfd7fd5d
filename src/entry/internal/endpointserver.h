// HTTP server for small endpoints, built on libevent's evhttp: announcements of backend servers,
// and the platform's health check and metrics.
#pragma once

#include "entry/internal/context.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_request;

namespace daisyhaven::entry {

struct EndpointResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

struct EndpointRequest
{
    std::string method; // GET or POST
    std::string body;
};

// Serves endpoints at one address.
class EndpointServer
{
public:
    using Handler = std::function<EndpointResponse(const EndpointRequest &)>;

    // Errors: SettingsInvalid if the address cannot be bound.
    static Result<std::unique_ptr<EndpointServer>> create(event_base *base,
                                                          const peer::Address &address);
    EndpointServer(const EndpointServer &) = delete;
    EndpointServer &operator=(const EndpointServer &) = delete;
    ~EndpointServer();

    void addHandler(const std::string &path, Handler handler);

private:
    explicit EndpointServer(evhttp *httpServer) : httpServer_(httpServer) { }
    static void handleRequest(evhttp_request *request, void *user);

    evhttp *httpServer_;
    std::map<std::string, Handler> handlers_;
};

} // namespace daisyhaven::entry
