package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

public class SocketTransportTest {

  @DataProvider
  public Object[][] architectures() {
    return new Object[][] {{"x86_64"}, {"aarch_64"}};
  }

  /** Without its library a machine falls back to NIO without an error. */
  @Test(dataProvider = "architectures")
  public void buildContainsNativeLibrary(String architecture) {
    String library = "META-INF/native/libnetty_transport_native_epoll_" + architecture + ".so";
    assertNotNull(getClass().getClassLoader().getResource(library), library);
  }

  @Test
  public void namesTransportOfEventLoops() {
    LoopResources loops = LoopResources.create("transport-test", 1, true);
    try {
      String expected = LoopResources.hasNativeSupport() ? "epoll" : "nio";
      assertEquals(SocketTransport.of(loops), new SocketTransport(expected));
    } finally {
      loops.dispose();
    }
  }
}
