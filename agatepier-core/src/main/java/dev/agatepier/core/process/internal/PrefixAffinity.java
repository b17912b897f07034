package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.LeastRecentlyUsedMap;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import java.util.Map;

/** LRU map from prompt prefixes to the sidecar that last served each of them. */
final class PrefixAffinity {

  /** Bytes at the start of a request body that are hashed as its prefix. */
  private static final int PREFIX_BYTES = 256;

  /** Maximum number of prefixes; the least recently used are evicted. */
  private static final int CAPACITY = 8_192;

  private final Map<Long, String> sidecars = new LeastRecentlyUsedMap<>(CAPACITY);

  /** Records which sidecar served a call; calls without a body are ignored. */
  void recordServed(CallArrived call, String sidecar) {
    if (call.body().size() > 0) {
      sidecars.put(key(call), sidecar);
    }
  }

  /** Returns the sidecar that last served the prefix of a call, or null. */
  String sidecar(CallArrived call) {
    return call.body().size() == 0 ? null : sidecars.get(key(call));
  }

  private static long key(CallArrived call) {
    int length = Math.min(PREFIX_BYTES, call.body().size());
    return RendezvousHash.hash(call.service().hashCode(), call.body().array(), length);
  }
}
