-- Spreads new flows by the weights that operators set.
function weigh(host, service)
  if host.draining then return 0 end
  return host.weight
end
