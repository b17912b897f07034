package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEvent.CallArrived;
import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers which sidecar lately served a prompt prefix. */
final class PrefixAffinity {

  /** Bytes at the start of a body that stand for its prefix. */
  private static final int PREFIX_BYTES = 256;

  /** Most prefixes remembered. */
  private static final int CAPACITY = 8_192;

  private final Map<Long, String> sidecars =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
          return size() > CAPACITY;
        }
      };

  /** Notes that a sidecar served a call. */
  void recordServed(CallArrived call, String sidecar) {
    if (call.body().size() > 0) {
      sidecars.put(key(call), sidecar);
    }
  }

  /** Returns the sidecar that lately served the prefix of a call, or null. */
  String sidecar(CallArrived call) {
    return call.body().size() == 0 ? null : sidecars.get(key(call));
  }

  private static long key(CallArrived call) {
    int length = Math.min(PREFIX_BYTES, call.body().size());
    return RendezvousHash.hash(call.service().hashCode(), call.body().array(), length);
  }
}
