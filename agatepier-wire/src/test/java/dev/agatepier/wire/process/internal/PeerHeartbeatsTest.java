package dev.agatepier.wire.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.InstanceList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerHeartbeatsTest {

  private static final PeerIdentity PEER = peer(Role.ROUTER);
  private static final long TABLE = 7;
  private static final long LIST = 3;
  private static final long EVACUATED = 2;
  private static final InstanceList ACTIVE =
      new InstanceList(LIST, List.of(), List.of(), Set.of(), EVACUATED);

  private PeerHeartbeats heartbeats;

  @BeforeMethod
  public void setUp() {
    heartbeats = new PeerHeartbeats(Role.ROUTER);
  }

  @Test
  public void handlesOnlyOneOfManyEqualHeartbeats() {
    int handled = 0;
    for (long clockMillis = 0; clockMillis < 100; clockMillis++) {
      handled += receive(new Heartbeat(TABLE, LIST, false, clockMillis)) ? 1 : 0;
    }
    assertEquals(handled, 1);
  }

  @Test
  public void changedDrainingFlagIsNews() {
    receive(new Heartbeat(TABLE, LIST, false, 1));
    assertTrue(receive(new Heartbeat(TABLE, LIST, true, 2)));
    assertFalse(receive(new Heartbeat(TABLE, LIST, true, 3)));
    assertTrue(receive(new Heartbeat(TABLE, LIST, false, 4)));
  }

  @Test
  public void newerVersionIsNewsUntilItIsActive() {
    receive(new Heartbeat(TABLE, LIST, false, 1));
    assertTrue(receive(new Heartbeat(TABLE + 1, LIST, false, 2)));
    assertTrue(receive(new Heartbeat(TABLE + 1, LIST, false, 3)));
    assertTrue(receive(new Heartbeat(TABLE, LIST + 1, false, 4)));
  }

  /** Guards against an evacuation that doesn't reach a router which has the newest upstreams. */
  @Test
  public void newerEvacuationIsNews() {
    receive(new Heartbeat(TABLE, LIST, false, 1));
    assertFalse(receive(new Heartbeat(TABLE, LIST, EVACUATED, false, 2)));
    assertTrue(receive(new Heartbeat(TABLE, LIST, EVACUATED + 1, false, 3)));
  }

  @Test
  public void firstHeartbeatOfNewLinkIsNews() {
    receive(new Heartbeat(TABLE, LIST, false, 1));
    heartbeats.forget(PEER);
    assertTrue(receive(new Heartbeat(TABLE, LIST, false, 2)));
  }

  @Test
  public void heartbeatThatWasNotAcceptedIsNewsAgain() {
    Heartbeat heartbeat = new Heartbeat(TABLE, LIST, true, 1);
    assertTrue(heartbeats.isNews(PEER, heartbeat, TABLE, ACTIVE));
    assertTrue(heartbeats.isNews(PEER, heartbeat, TABLE, ACTIVE));
  }

  @Test
  public void everyHeartbeatOfSidecarIsNews() {
    PeerIdentity sidecar = peer(Role.SIDECAR);
    Heartbeat heartbeat = new Heartbeat(TABLE, LIST, false, 1);
    heartbeats.recordHandled(sidecar, heartbeat);
    assertTrue(heartbeats.isNews(sidecar, heartbeat, TABLE, ACTIVE));
  }

  private boolean receive(Heartbeat heartbeat) {
    boolean news = heartbeats.isNews(PEER, heartbeat, TABLE, ACTIVE);
    if (news) {
      heartbeats.recordHandled(PEER, heartbeat);
    }
    return news;
  }

  private static PeerIdentity peer(Role role) {
    return new PeerIdentity("peer-1", 1, role, "kolkata-a", "kolkata", "");
  }
}
