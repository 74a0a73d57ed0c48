-- Refuses new flows before the hosts are full, so that callers can try elsewhere at once.
function weigh(host, service)
  if host.draining or host.flows >= host.connection_limit then return 0 end
  return host.weight * (1 - host.flows / host.connection_limit)
end

function admit(service)
  if service.healthy_hosts == 0 then return false end
  return service.flows < 0.95 * service.capacity and service.load < 1
end
