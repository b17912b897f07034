package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

/** Repeats the tests of the caller port on a machine without a native transport. */
public class CallerPortOnNioTest extends CallerPortTest {

  @Override
  LoopResources createLoops() {
    return new NioLoopResources(super.createLoops());
  }

  @Test
  public void usesNio() {
    assertEquals(SocketTransport.of(createLoops()), new SocketTransport("nio"));
  }
}
