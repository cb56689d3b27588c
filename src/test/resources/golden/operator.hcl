reservation {
  ttl_s = 61
  renew_s = 7.5
  big_task_share = 0.4
}
capacity {
  headroom = 1.5
  idle_return_s = 46
}
machines {
  quarantine_s = 121
}
zones {
  care = false
}
rollout {
  soak_s = 11
  rewrite_share = 0.2
}
