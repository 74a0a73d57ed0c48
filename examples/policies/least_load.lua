-- Prefers hosts with little load; a cold host takes 30 seconds to reach its full share.
function weigh(host, service)
  if host.draining or not host.healthy then return 0 end
  local room = clamp(1 - host.load, 0.05, 1)
  return host.weight * room * max(ramp(host.age_seconds, 30), 0.1)
end
