package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A slot keeper in virtual time, with model engines and plain upstreams of one data centre. */
final class SlotAllocatorFixture {

  static final String MODEL = "plan-model";
  static final String PLAIN = "chair-desk";
  static final String ROUTER = "r1";
  static final long MEMORY_TOKENS = 100_000;

  private static final long MILLI = 1_000_000;

  final SlotAllocatorDecision decision;
  final List<SlotMessage> sent = new ArrayList<>();
  final List<SlotAllocatorEffect.UpstreamUsabilityChanged> judged = new ArrayList<>();
  long now = 7_000 * MILLI;
  private long lastNumber;
  private long lastList;

  SlotAllocatorFixture(String... upstreams) {
    this(new SlotAllocatorDecision(router(ROUTER, "a1"), SlotAllocatorPolicy.DEFAULT));
    tell(new SlotAllocatorEvent.TableActivated(table()));
    list(upstreams);
  }

  private SlotAllocatorFixture(SlotAllocatorDecision decision) {
    this.decision = decision;
  }

  /** Returns a keeper with upstreams that compares costs over four seconds. */
  static SlotAllocatorFixture forgetting(String... upstreams) {
    SlotAllocatorPolicy usual = SlotAllocatorPolicy.DEFAULT;
    SlotAllocatorPolicy policy =
        new SlotAllocatorPolicy(
            usual.backlogMillis(),
            usual.memoryShare(),
            usual.stallMillis(),
            usual.lateMillis(),
            usual.retryAfterMillis(),
            4_000);
    SlotAllocatorFixture keeper =
        new SlotAllocatorFixture(new SlotAllocatorDecision(router(ROUTER, "a1"), policy));
    keeper.tell(new SlotAllocatorEvent.TableActivated(table()));
    keeper.list(upstreams);
    return keeper;
  }

  /** Returns a keeper that has just started and knows neither table nor upstreams. */
  static SlotAllocatorFixture started() {
    return new SlotAllocatorFixture(
        new SlotAllocatorDecision(router(ROUTER, "a1"), SlotAllocatorPolicy.DEFAULT));
  }

  static PeerIdentity router(String name, String dataCentre) {
    return new PeerIdentity(name, 1, Role.ROUTER, dataCentre, "a", "");
  }

  static Table table() {
    return new Table(1, Map.of(), Map.of(MODEL, modelService(), PLAIN, plainService()));
  }

  private static ServiceEntry modelService() {
    return new ServiceEntry(
        MODEL,
        ServiceKind.MODEL,
        List.of(),
        60_000,
        0.2,
        SlotAllocationMode.ROUTER,
        Optional.of(new EngineProfile(MEMORY_TOKENS, 5)));
  }

  private static ServiceEntry plainService() {
    return new ServiceEntry(
        PLAIN,
        ServiceKind.PLAIN,
        List.of(),
        60_000,
        0.2,
        SlotAllocationMode.ROUTER,
        Optional.empty());
  }

  /**
   * Lists upstreams by name: m for engines, p for plain ones, with an x at the end if leaving, and
   * with a b- before it in another data centre.
   */
  void list(String... names) {
    List<Upstream> upstreams = Arrays.stream(names).map(SlotAllocatorFixture::upstream).toList();
    tell(
        new SlotAllocatorEvent.InstancesActivated(
            new InstanceList(++lastList, List.of(), upstreams)));
  }

  static Upstream upstream(String name) {
    boolean model = name.startsWith("m");
    String dataCentre = name.startsWith("b-") ? "b1" : "a1";
    boolean leaving = name.endsWith("x");
    return new Upstream(
        leaving ? name.substring(0, name.length() - 1) : name,
        1,
        model ? MODEL : PLAIN,
        "127.0.0.1",
        8_000,
        dataCentre,
        model ? 8 : 2,
        leaving);
  }

  List<SlotMessage> tell(SlotAllocatorEvent event) {
    List<SlotMessage> news = new ArrayList<>();
    for (SlotAllocatorEffect effect : decision.decide(event, now)) {
      switch (effect) {
        case SlotAllocatorEffect.Send(String router, SlotMessage message) -> {
          if (!(message instanceof SlotMessage.AllocatorLoad)) {
            news.add(message);
          }
        }
        case SlotAllocatorEffect.UpstreamUsabilityChanged judgement -> judged.add(judgement);
        case SlotAllocatorEffect.Placed _, SlotAllocatorEffect.Rejected _ -> {
          // For logs.
        }
      }
    }
    sent.addAll(news);
    return news;
  }

  RequestId plain(String workspace, long objectiveMillis) {
    return want(PLAIN, workspace, objectiveMillis, Optional.empty());
  }

  /** Wants a slot for a prompt with a shared part of its own name and a part that is new. */
  RequestId model(String workspace, long objectiveMillis, String shared, int tokens) {
    String own = "own-" + (lastNumber + 1);
    PromptMetadata prompt =
        new PromptMetadata(
            "m",
            2 * tokens,
            100,
            List.of(new PromptPart(shared, tokens), new PromptPart(own, tokens)));
    return want(MODEL, workspace, objectiveMillis, Optional.of(prompt));
  }

  private RequestId want(
      String service, String workspace, long objectiveMillis, Optional<PromptMetadata> prompt) {
    RequestId request = new RequestId(ROUTER, 1, ++lastNumber);
    WaitingCall call =
        new WaitingCall(request, workspace, "", objectiveMillis, 15_000, true, prompt);
    tell(message(new SlotsWanted(service, false, List.of(call), List.of())));
    return request;
  }

  void change(String service, RequestId request, SlotStage stage, long amount) {
    SlotChange change = new SlotChange(request, upstreamOf(request), stage, amount);
    tell(message(new SlotsChanged(service, List.of(change))));
  }

  static SlotAllocatorEvent message(SlotMessage message) {
    return new SlotAllocatorEvent.MessageArrived(ROUTER, message);
  }

  List<SlotMessage> pass(long millis) {
    now += millis * MILLI;
    return tell(new SlotAllocatorEvent.TimePassed());
  }

  /** Returns the upstream that a request was granted last; empty for none. */
  String upstreamOf(RequestId request) {
    String upstream = "";
    for (SlotMessage message : sent) {
      if (message instanceof SlotGranted granted && granted.request().equals(request)) {
        upstream = granted.upstream();
      }
    }
    return upstream;
  }

  boolean granted(RequestId request) {
    return !upstreamOf(request).isEmpty();
  }

  boolean refused(RequestId request) {
    return sent.stream()
        .anyMatch(
            message -> message instanceof SlotRefused refused && refused.request().equals(request));
  }
}
