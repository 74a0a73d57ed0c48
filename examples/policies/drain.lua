-- A draining host gets nothing new; one whose operator lowers its weight below 100 fades out with it,
-- and a host that is more than a day old gives way to fresh ones over the next day.
local day = 86400

function weigh(host, service)
  if host.draining then return 0 end
  local fade = 1 - 0.9 * ramp(host.age_seconds - day, day)
  return host.weight * fade
end
