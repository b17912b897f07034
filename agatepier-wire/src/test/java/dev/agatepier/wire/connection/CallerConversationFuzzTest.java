package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.connection.internal.CallerConnection;
import dev.agatepier.wire.connection.internal.CallerPipeline;
import dev.agatepier.wire.connection.internal.CallerPortContext;
import dev.agatepier.wire.connection.internal.LimitIncidents;
import dev.agatepier.wire.process.LimitSettings;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallDialect;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import org.testng.annotations.Test;

/**
 * Seeded fuzzer of the HTTP front end: mutates conversations and splits them. Guards against
 * requests that depend on how their bytes arrive, against failures of the connection's task, and
 * against memory that stays counted.
 */
public class CallerConversationFuzzTest {

  private static final int ROUNDS = Integer.getInteger("fuzz.rounds", 400);
  private static final long SEED = Long.getLong("fuzz.seed", 36);
  private static final int MAXIMUM_MUTATIONS = 4;

  private static final List<String> CONVERSATIONS =
      List.of(
          "GET /plans HTTP/1.1\r\nHost: a\r\nLabel: one\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
          "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
          "GET /rejected HTTP/1.1\r\nHost: a\r\n\r\n",
          "POST /rejected HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
          "HEAD /a HTTP/1.0\r\nConnection: keep-alive\r\nHost: a\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000),
          "GET /a HTTP/1.1\r\nHost: a\r\n" + "a:\r\n".repeat(200) + "\r\n",
          "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

  private static final List<String> TOKENS =
      List.of(
          "\r\n",
          "\n",
          "\r",
          " ",
          ":",
          "\0",
          "\377",
          "0\r\n\r\n",
          "chunked",
          "Content-Length: 7\r\n",
          "Transfer-Encoding: chunked\r\n",
          "fffffffff\r\n",
          "-1",
          "HTTP/1.1",
          ";e=",
          "\r\n\r\n");

  /** What a conversation led to: the calls that were submitted and the bytes written. */
  private record Transcript(List<String> calls, String written) {}

  @Test
  public void splitsDoNotChangeWhatConversationsLeadTo() {
    for (int round = 0; round < ROUNDS; round++) {
      Random random = new Random(SEED + round);
      byte[] conversation = mutate(converse(random), random);
      Transcript whole = new Conversation().run(conversation, position -> conversation.length);
      Transcript bytes = new Conversation().run(conversation, position -> 1);
      Transcript parts = new Conversation().run(conversation, position -> 1 + random.nextInt(40));
      String input = "seed " + (SEED + round) + ": " + text(conversation);
      assertEquals(bytes, whole, "split at every byte, " + input);
      assertEquals(parts, whole, "split at random, " + input);
    }
  }

  private static byte[] converse(Random random) {
    StringBuilder conversation = new StringBuilder();
    for (int number = 0; number <= random.nextInt(4); number++) {
      conversation.append(CONVERSATIONS.get(random.nextInt(CONVERSATIONS.size())));
    }
    return conversation.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] mutate(byte[] original, Random random) {
    byte[] mutated = original;
    for (int count = random.nextInt(MAXIMUM_MUTATIONS); count > 0; count--) {
      int at = random.nextInt(mutated.length);
      int end = Math.min(mutated.length, at + 1 + random.nextInt(20));
      byte[] inserted =
          switch (random.nextInt(4)) {
            case 0 -> new byte[0];
            case 1 -> new byte[] {(byte) random.nextInt(256)};
            case 2 -> Arrays.copyOfRange(mutated, at, end);
            default ->
                TOKENS.get(random.nextInt(TOKENS.size())).getBytes(StandardCharsets.ISO_8859_1);
          };
      ByteArrayOutputStream result = new ByteArrayOutputStream();
      result.write(mutated, 0, at);
      result.writeBytes(inserted);
      int from = random.nextBoolean() ? at : end;
      result.write(mutated, from, mutated.length - from);
      mutated = result.size() == 0 ? original : result.toByteArray();
    }
    return mutated;
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1).replace("\r", "\\r").replace("\n", "\\n");
  }

  /** One connection; each call is answered after the bytes that complete it were processed. */
  private static final class Conversation implements CallerPortContext {
    private final FakeCallDialect dialect = new FakeCallDialect();
    private final MemoryBudget memory = new MemoryBudget(8_000_000, System::nanoTime);
    private final LimitIncidents incidents =
        new LimitIncidents(System::nanoTime, new MetricRegistry());
    private final List<String> calls = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();
    private final Queue<RequestId> unanswered = new ArrayDeque<>();
    private final StringBuilder written = new StringBuilder();
    private final CallerConnection connection = new CallerConnection(this, 1_024);
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long lastNumber;

    private Transcript run(byte[] bytes, IntUnaryOperator size) {
      CallerPipeline.install(channel, connection);
      int position = 0;
      while (position < bytes.length && channel.isActive()) {
        int end = Math.min(bytes.length, position + size.applyAsInt(position));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, position, end - position));
        position = end;
        answerAll();
      }
      channel.close();
      answerAll();
      channel.finishAndReleaseAll();
      assertEquals(failures, List.of(), text(bytes));
      assertEquals(memory.totalBytes(), 0, "bytes counted after the end of " + text(bytes));
      return new Transcript(calls, written.toString());
    }

    private void answerAll() {
      channel.runPendingTasks();
      for (RequestId next = unanswered.poll(); next != null; next = unanswered.poll()) {
        connection.startResponse(
            next, new ResponseHead(200, List.of(new Header("content-length", "2"))));
        connection.writeContent(next, Bytes.ofText("ok"));
        connection.endResponse(next);
        channel.runPendingTasks();
      }
      for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
        written.append(part.toString(StandardCharsets.ISO_8859_1));
        part.release();
      }
    }

    @Override
    public boolean submit(
        CallerConnection caller, RequestId request, AcceptedCall call, Bytes body) {
      calls.add(call.head() + " " + body.text());
      return unanswered.add(request);
    }

    @Override
    public CallDialect dialect() {
      return dialect;
    }

    @Override
    public MonotonicClock clock() {
      return System::nanoTime;
    }

    @Override
    public LimitSettings limits() {
      return LimitSettings.DEFAULT;
    }

    @Override
    public MemoryBudget memory() {
      return memory;
    }

    @Override
    public LimitIncidents incidents() {
      return incidents;
    }

    @Override
    public Consumer<RouterEvent> events() {
      return event -> {};
    }

    @Override
    public Consumer<Throwable> failureHandler() {
      return failures::add;
    }

    @Override
    public RequestId nextRequestId() {
      return new RequestId("router", 1, ++lastNumber);
    }

    @Override
    public void onRequestRejected(RequestId request, String label, Reason reason) {
      assertTrue(reason.status() >= 400, reason.code());
    }

    @Override
    public long retryAfterMillis(Reason reason) {
      return 0;
    }

    @Override
    public void onRequestFinished(RequestId request) {
      // The response is written.
    }

    @Override
    public void onConnectionClosed(CallerConnection closed) {
      // The conversation has ended.
    }
  }
}
