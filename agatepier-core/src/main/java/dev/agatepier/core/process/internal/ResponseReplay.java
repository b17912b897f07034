package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEffect.Send;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import java.util.List;

/** Sends a stored response again, limited by the flow-control credit of its receiver. */
final class ResponseReplay {
  final AttemptId attempt;
  final String router;
  private final List<Bytes> frames;
  private long windowBytes;
  private int nextFrame;

  ResponseReplay(AttemptId attempt, String router, TicketEntry entry, long windowBytes) {
    this.attempt = attempt;
    this.router = router;
    this.frames = entry.frames;
    this.windowBytes = windowBytes;
  }

  /** Adds credit and sends the frames that it covers; returns whether the response is complete. */
  boolean send(long creditBytes, List<SidecarEffect> effects) {
    windowBytes += creditBytes;
    while (nextFrame < frames.size() && windowBytes > 0) {
      Bytes frame = frames.get(nextFrame);
      windowBytes -= frame.size();
      effects.add(new Send(router, new AttemptMessage.AttemptContent(attempt, nextFrame, frame)));
      nextFrame++;
    }
    if (nextFrame < frames.size()) {
      return false;
    }
    effects.add(new Send(router, new AttemptMessage.AttemptEnd(attempt, nextFrame, 0)));
    return true;
  }
}
