/** @file The admin API: checks the token and hands each request to its route (docs/ADMIN_API.md).
 */
#pragma once

#include <atomic>
#include <string>
#include <string_view>
#include <vector>

#include "common/admin/api_context.h"
#include "common/admin/http_handler.h"

namespace umberhold {

/** Changes that one node works on at once; more get Retry-After. */
constexpr uint32_t kMaxConcurrentChanges = 8;

/** Thread safe. */
class AdminApi : public AdminHandler {
 public:
  /** All references are borrowed. @param token every request must bear it; empty refuses all. */
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
