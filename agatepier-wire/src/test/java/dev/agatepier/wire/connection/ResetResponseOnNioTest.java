package dev.agatepier.wire.connection;

import reactor.netty.resources.LoopResources;

/** The same responses as on a machine without a native transport. */
public class ResetResponseOnNioTest extends ResetResponseTest {

  @Override
  LoopResources createLoops() {
    return new NioLoopResources(super.createLoops());
  }
}
