-- Keeps flows in the caller's zone while its hosts have room; beyond 70% load they spill over.
function weigh(host, service)
  if host.draining or not host.healthy then return 0 end
  local full = clamp((host.load - 0.7) / 0.3, 0, 1)
  if host.same_zone then return host.weight * (1 - 0.9 * full) end
  local spill = clamp((service.load - 0.7) / 0.3, 0, 1)
  return host.weight * (0.01 + 0.99 * spill) * (1 - 0.9 * full)
end
