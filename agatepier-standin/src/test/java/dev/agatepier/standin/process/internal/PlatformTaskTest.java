package dev.agatepier.standin.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.internal.PlatformMessage.Subject;
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
  public void theSecondOfTwoRacingChangesIsRefused() {
    assertEquals(status(publish(0, "a,1")), 200);
    assertEquals(status(publish(0, "a,2")), 409);
    assertEquals(status(publish(1, "a,2")), 200);
  }

  @Test
  public void watchAnswersAtChangeOrWhenItExpires() {
    CompletableFuture<Reply> watch = ask(watching(0));
    CompletableFuture<Reply> expired = ask(watching(5));
    assertFalse(watch.isDone());
    publish(-1, "a,1");
    assertEquals(status(watch), 200);
    timers.forEach(platform::handle);
    assertEquals(status(expired), 204);
  }

  @Test
  public void frozenTableIsServedAsItWasUntilThaw() {
    publish(-1, "a,1");
    faults(new PlatformFaults(false, true, false, 0));
    publish(-1, "a,2");
    assertEquals(version(Subject.TABLE), 1);
    faults(PlatformFaults.NONE);
    assertEquals(version(Subject.TABLE), 2);
  }

  @Test
  public void instancesAreSeenAfterTheLag() {
    faults(new PlatformFaults(false, false, false, 100));
    ask(reply -> new PlatformMessage.PutInstances(Json.object().putArray("instances"), reply));
    assertEquals(version(Subject.INSTANCES), 0);
    timers.forEach(platform::handle);
    assertEquals(version(Subject.INSTANCES), 1);
  }

  @Test
  public void downCutsReadsAndWatches() {
    CompletableFuture<Reply> watch = ask(watching(0));
    faults(new PlatformFaults(true, false, false, 0));
    assertEquals(watch.join(), new Reply.Reset());
    assertEquals(ask(watching(0)).join(), new Reply.Reset());
  }

  private Function<CompletableFuture<Reply>, PlatformMessage> watching(long after) {
    return reply -> new PlatformMessage.Read(Subject.TABLE, after, 1_000, reply);
  }

  private CompletableFuture<Reply> publish(long expected, String row) {
    return ask(
        reply ->
            new PlatformMessage.PutTable(
                expected, "workspace,weight\n" + row + "\n", "service,kind\n", reply));
  }

  private void faults(PlatformFaults faults) {
    ask(reply -> new PlatformMessage.PutFaults(faults, reply));
  }

  private CompletableFuture<Reply> ask(
      Function<CompletableFuture<Reply>, PlatformMessage> message) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    platform.handle(message.apply(reply));
    return reply;
  }

  private long version(Subject subject) {
    Reply reply = ask(answer -> new PlatformMessage.Read(subject, -1, 0, answer)).join();
    return Json.read(((Reply.Content) reply).body().getBytes(), JsonNode.class)
        .path("version")
        .asLong();
  }

  private static int status(CompletableFuture<Reply> reply) {
    return ((Reply.Content) reply.join()).status();
  }
}
