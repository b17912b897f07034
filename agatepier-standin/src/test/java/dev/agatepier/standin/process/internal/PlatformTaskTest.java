package dev.agatepier.standin.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.internal.PlatformMessage.Document;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlatformTaskTest {

  private final List<PlatformMessage> timers = new ArrayList<>();
  private PlatformTask platform;

  @BeforeMethod
  public void create() {
    timers.clear();
    platform = new PlatformTask(Optional.empty(), (delay, message) -> timers.add(message));
  }

  @Test
  public void secondOfTwoConcurrentChangesIsRejected() {
    assertEquals(status(publishTable(0, "a,1")), 200);
    assertEquals(status(publishTable(0, "a,2")), 409);
    assertEquals(status(publishTable(1, "a,2")), 200);
  }

  @Test
  public void watchCompletesAtChangeOrExpiry() {
    CompletableFuture<Reply> watch = ask(watchAfter(0));
    CompletableFuture<Reply> expired = ask(watchAfter(5));
    assertFalse(watch.isDone());
    publishTable(-1, "a,1");
    assertEquals(status(watch), 200);
    timers.forEach(platform::handle);
    assertEquals(status(expired), 204);
  }

  @Test
  public void frozenTableIsServedUnchangedUntilUnfrozen() {
    publishTable(-1, "a,1");
    putFaults(new PlatformFaults(false, true, false, 0));
    publishTable(-1, "a,2");
    assertEquals(version(Document.TABLE), 1);
    putFaults(PlatformFaults.NONE);
    assertEquals(version(Document.TABLE), 2);
  }

  @Test
  public void instancesAreVisibleAfterTheLag() {
    putFaults(new PlatformFaults(false, false, false, 100));
    ask(reply -> new PlatformMessage.PutInstances(Json.object().putArray("instances"), reply));
    assertEquals(version(Document.INSTANCES), 0);
    timers.forEach(platform::handle);
    assertEquals(version(Document.INSTANCES), 1);
  }

  @Test
  public void platformDownResetsReadsAndWatches() {
    CompletableFuture<Reply> watch = ask(watchAfter(0));
    putFaults(new PlatformFaults(true, false, false, 0));
    assertEquals(watch.join(), new Reply.Reset());
    assertEquals(ask(watchAfter(0)).join(), new Reply.Reset());
  }

  private Function<CompletableFuture<Reply>, PlatformMessage> watchAfter(long after) {
    return reply -> new PlatformMessage.Read(Document.TABLE, after, 1_000, reply);
  }

  private CompletableFuture<Reply> publishTable(long expected, String row) {
    return ask(
        reply ->
            new PlatformMessage.PutTable(
                expected, "workspace,weight\n" + row + "\n", "service,kind\n", reply));
  }

  private void putFaults(PlatformFaults faults) {
    ask(reply -> new PlatformMessage.PutFaults(faults, reply));
  }

  private CompletableFuture<Reply> ask(
      Function<CompletableFuture<Reply>, PlatformMessage> message) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    platform.handle(message.apply(reply));
    return reply;
  }

  private long version(Document document) {
    Reply reply = ask(future -> new PlatformMessage.Read(document, -1, 0, future)).join();
    return Json.read(((Reply.Content) reply).body().getBytes(), JsonNode.class)
        .path("version")
        .asLong();
  }

  private static int status(CompletableFuture<Reply> reply) {
    return ((Reply.Content) reply.join()).status();
  }
}
