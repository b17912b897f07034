package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.standin.request.Digests;
import dev.agatepier.standin.request.RunRecord;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Records the requests that reached an upstream stand-in: the most recent in memory, all of them in
 * a file that remains if the process is killed.
 */
final class RunLog implements AutoCloseable {

  private static final int MAXIMUM_RECORDS = 20_000;

  /** Exit status of a crash that a request triggers. */
  private static final int CRASH_STATUS = 70;

  /** A request body that contains this text crashes the process. */
  private static final String CRASH_TEXT = "crash-upstream";

  private final AtomicLong lastNumber = new AtomicLong();
  private final Map<Long, RunRecord> records = new LinkedHashMap<>();
  private final Optional<Path> file;
  private final MailboxTask<Message> task;

  RunLog(TaskScheduler scheduler, Optional<Path> file) {
    this.file = file;
    this.task = scheduler.task(this::handle);
  }

  private sealed interface Message {
    record Put(RunRecord record) implements Message {}

    record Crash() implements Message {}

    record Read(CompletableFuture<Reply> reply) implements Message {}
  }

  /** Records the arrival of a request; crashes the process if the body contains the crash text. */
  RunRecord recordArrival(HttpServerRequest request, byte[] body) {
    RunRecord record =
        new RunRecord(
            ProcessHandle.current().pid(),
            lastNumber.incrementAndGet(),
            request.requestHeaders().get("agatepier-request", ""),
            request.requestHeaders().get("agatepier-attempt", ""),
            request.method().name(),
            request.uri(),
            Digests.sha256(body),
            System.currentTimeMillis(),
            RunRecord.State.RUNNING);
    put(record);
    if (new String(body, StandardCharsets.UTF_8).contains(CRASH_TEXT)) {
      task.offer(new Message.Crash());
    }
    return record;
  }

  /** Stores a record, replacing an earlier one of the same number. */
  void put(RunRecord record) {
    task.offer(new Message.Put(record));
  }

  /** Returns the records in memory as JSON lines. */
  CompletableFuture<Reply> read() {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    if (!task.offer(new Message.Read(reply))) {
      reply.complete(Reply.error(503, "the record's mailbox is full"));
    }
    return reply;
  }

  @Override
  public void close() {
    task.close();
  }

  private void handle(Message message) {
    switch (message) {
      case Message.Put put -> store(put.record());
      case Message.Crash crash -> Runtime.getRuntime().halt(CRASH_STATUS);
      case Message.Read read ->
          read.reply().complete(new Reply.Content(200, "application/x-ndjson", lines()));
    }
  }

  private void store(RunRecord record) {
    records.put(record.number(), record);
    if (records.size() > MAXIMUM_RECORDS) {
      records.remove(records.keySet().iterator().next());
    }
    file.ifPresent(path -> append(path, Json.write(record) + "\n"));
  }

  private String lines() {
    return records.values().stream()
        .map(record -> Json.write(record) + "\n")
        .collect(Collectors.joining());
  }

  private static void append(Path path, String line) {
    try {
      Files.writeString(path, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException failure) {
      throw new IllegalStateException("cannot write the record file " + path, failure);
    }
  }
}
