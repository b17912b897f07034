package dev.agatepier.standin.connection.internal;

import dev.agatepier.standin.connection.Direction;
import dev.agatepier.standin.connection.RouteFaults;
import io.netty.buffer.ByteBuf;
import reactor.netty.Connection;

/** Messages of the task of a proxied connection. */
sealed interface ProxyMessage {

  /** The connection to the target is established. */
  record TargetConnected(Connection target) implements ProxyMessage {}

  /** Bytes of a direction were received. */
  record BytesReceived(Direction direction, ByteBuf bytes) implements ProxyMessage {}

  /** The input socket of a direction was closed or failed. */
  record InputClosed(Direction direction) implements ProxyMessage {}

  /** The timer of a direction expired; items of its delay line may be due. */
  record TimerExpired(Direction direction) implements ProxyMessage {}

  /** A buffer was written, so that another can be requested from the input. */
  record BytesWritten(Direction direction, int bytes) implements ProxyMessage {}

  /** The faults of the route have changed. */
  record FaultsChanged(RouteFaults faults) implements ProxyMessage {}

  /** Requests a reset of both sockets. */
  record CutRequested() implements ProxyMessage {}
}
