/** @file The admin API: checks the token and dispatches each request (docs/ADMIN_API.md). */
#pragma once

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

#include "common/admin/api_context.h"
#include "common/admin/http_handler.h"

namespace umberhold {

/** Maximum number of changes that a node runs concurrently; further ones get Retry-After. */
constexpr uint32_t kMaxConcurrentChanges = 8;

/** Authenticates and routes requests. Thread safe. */
class AdminApi : public AdminHandler {
 public:
  /**
   * All references are borrowed.
   * @param token bearer token that every request must carry; if empty, all requests are rejected.
   */
  AdminApi(std::string token, PlatformStore& store, ChangeCoordinator& changes, NodeStatus& node,
           PolicyEngine& policies, CallClock& clock);

  AdminResponse handle(const AdminRequest& request) override;

 private:
  using Segments = std::vector<std::string>;

  bool isAuthorized(const AdminRequest& request) const;
  AdminResponse route(const AdminRequest& request, const Segments& segments);
  AdminResponse routeRead(const AdminRequest& request, const Segments& segments);
  AdminResponse routeChange(const AdminRequest& request, const Segments& segments);

  const std::string token_;
  ApiContext context_;
  std::atomic<uint32_t> changesRunning_{0};
};

}  // namespace umberhold
