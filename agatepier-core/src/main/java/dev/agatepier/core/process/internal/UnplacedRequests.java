package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.Reason;
import java.util.ArrayList;
import java.util.List;

/** The waiting requests that no data centre serves; each decision of a router ends them. */
final class UnplacedRequests {

  private final RouterState state;
  private List<RoutedRequest> requests = new ArrayList<>();

  UnplacedRequests(RouterState state) {
    this.state = state;
  }

  void add(RoutedRequest request) {
    requests.add(request);
  }

  /** Rejects the requests that still wait without a data centre. */
  void rejectAll(RequestLifecycle lifecycle, long nowNanos) {
    while (!requests.isEmpty()) {
      List<RoutedRequest> taken = requests;
      requests = new ArrayList<>();
      for (RoutedRequest request : taken) {
        if (state.requests.get(request.id()) == request
            && request.phase == Phase.WAITING
            && request.dataCentre.isEmpty()) {
          reject(request, lifecycle, nowNanos);
        }
      }
    }
  }

  /** Requirements are the cause if the service has an upstream that others can use. */
  private void reject(RoutedRequest request, RequestLifecycle lifecycle, long nowNanos) {
    String service = request.queue.service;
    if (state.upstreams.isWithoutUpstreams(service, nowNanos)) {
      long retryAfterMillis =
          state.upstreams.retryAfterMillis(service, name -> true, request.id(), nowNanos);
      lifecycle.fail(request, Reason.NO_UPSTREAM, 0, retryAfterMillis, nowNanos);
    } else {
      state.regions.reject(request, state.upstreams, lifecycle, nowNanos);
    }
  }
}
