package dev.agatepier.standin.connection.internal;

import dev.agatepier.standin.connection.Direction;
import dev.agatepier.standin.connection.RouteFaults;
import io.netty.buffer.ByteBuf;
import reactor.netty.Connection;

/** What the task of a proxied connection is told. */
sealed interface ProxyMessage {

  /** The target was reached. */
  record TargetConnected(Connection target) implements ProxyMessage {}

  /** Bytes arrived that travel in a direction. */
  record BytesReceived(Direction direction, ByteBuf bytes) implements ProxyMessage {}

  /** The socket from which a direction comes was closed. */
  record InputClosed(Direction direction) implements ProxyMessage {}

  /** Time may have made something due. */
  record TimerExpired(Direction direction) implements ProxyMessage {}

  /** Bytes were written out; there is room for more. */
  record BytesWritten(Direction direction, int bytes) implements ProxyMessage {}

  /** The route has other faults. */
  record FaultsChanged(RouteFaults faults) implements ProxyMessage {}

  /** Both sockets are to be reset. */
  record CutRequested() implements ProxyMessage {}
}
