package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.version.ReadTimestamp;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ConfirmationsTest {

  private static final long LEASE_MILLIS = 5_000;
  private static final List<String> PEERS = List.of("reader-1", "reader-2", "router-9");

  private Confirmations confirmations;

  @BeforeMethod
  public void createConfirmations() {
    confirmations = new Confirmations(LEASE_MILLIS);
  }

  @Test
  public void asksNoPeerWhileOwnReadsAreFresh() {
    confirmations.recordNewest(7, 7, at(1_000));
    assertEquals(ask(1_000 + LEASE_MILLIS / 2 - 1), Optional.empty());
    assertEquals(ask(1_000 + LEASE_MILLIS / 2), Optional.of("reader-1"));
  }

  @Test
  public void asksNextPeerAfterTimeoutAndKeepsPeerThatConfirmed() {
    assertEquals(ask(1_000), Optional.of("reader-1"));
    assertEquals(ask(1_100), Optional.empty(), "a request is outstanding");
    assertEquals(ask(1_300), Optional.of("reader-2"));
    assertEquals(receiveReply(7, 400), Optional.of(at(900)));
    assertEquals(ask(900 + LEASE_MILLIS / 2), Optional.of("reader-2"));
  }

  @Test
  public void datesConfirmationFromRequestDespiteLateReply() {
    ask(1_000);
    assertEquals(receiveReply(7, 300), Optional.of(at(700)));
    assertEquals(
        confirmations.reply(new ConfirmationRequest(4), 7, at(4_000)),
        new ConfirmationTransfer(4, 7, 3_300));
  }

  @Test
  public void ignoresReplyToEarlierRequest() {
    ask(1_000);
    ConfirmationRequest first = confirmations.request();
    ask(1_300);
    assertEquals(
        confirmations.onReply(new ConfirmationTransfer(first.number(), 7, 0), 7), Optional.empty());
  }

  @Test
  public void keepsLaterConfirmation() {
    ask(1_000);
    confirmations.recordNewest(7, 7, at(950));
    assertEquals(receiveReply(7, 400), Optional.empty());
  }

  @Test
  public void confirmsVersionWhenItIsActivated() {
    ask(1_000);
    assertEquals(receiveReply(8, 100), Optional.empty());
    assertEquals(confirmations.onActivated(8), Optional.of(at(900)));
  }

  @Test
  public void olderVersionDoesNotConfirmActiveOne() {
    ask(1_000);
    assertEquals(receiveReply(6, 100), Optional.empty());
    assertEquals(confirmations.onActivated(8), Optional.empty());
  }

  @Test
  public void repliesWithoutVersionAfterLeaseExpired() {
    ConfirmationTransfer noConfirmation = new ConfirmationTransfer(4, 0, 0);
    ConfirmationRequest request = new ConfirmationRequest(4);
    assertEquals(confirmations.reply(request, 7, at(1_000)), noConfirmation);
    confirmations.recordNewest(7, 7, at(1_000));
    assertEquals(confirmations.reply(request, 7, at(1_000 + LEASE_MILLIS)), noConfirmation);
    ReadTimestamp suspended = new ReadTimestamp(TimeUnit.MILLISECONDS.toNanos(1_100), 3_000);
    assertEquals(confirmations.reply(request, 7, suspended), noConfirmation);
    assertEquals(
        receiveReply(0, 0), Optional.empty(), "a reply without a version confirms nothing");
  }

  private Optional<String> ask(long millis) {
    return confirmations.peerToAsk(() -> PEERS, at(millis), TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private Optional<ReadTimestamp> receiveReply(long version, long ageMillis) {
    long number = confirmations.request().number();
    return confirmations.onReply(new ConfirmationTransfer(number, version, ageMillis), 7);
  }

  private static ReadTimestamp at(long millis) {
    return new ReadTimestamp(TimeUnit.MILLISECONDS.toNanos(millis), millis);
  }
}
