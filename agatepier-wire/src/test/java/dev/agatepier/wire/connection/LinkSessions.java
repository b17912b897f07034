package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.AttemptMessage.AttemptContent;
import dev.agatepier.core.connection.AttemptMessage.AttemptCredit;
import dev.agatepier.core.connection.AttemptMessage.AttemptEnd;
import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptHead;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.AttemptMessage.WithdrawAttempt;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.DataCentreCosts;
import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.Hello;
import dev.agatepier.core.connection.LinkMessage.HelloProof;
import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.SlotMessage.AllocatorCosts;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.UpstreamUnavailable;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.connection.VersionMessage.InstancesRequest;
import dev.agatepier.core.connection.VersionMessage.InstancesTransfer;
import dev.agatepier.core.connection.VersionMessage.ManifestRequest;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.connection.VersionMessage.PageRequest;
import dev.agatepier.core.connection.VersionMessage.PageTransfer;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.StreamKey;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** Message sequences of the golden files; together they cover every message type. */
final class LinkSessions {

  static final PeerIdentity ROUTER =
      new PeerIdentity("router-1", 7, Role.ROUTER, "kolkata-a", "bengal", "");
  static final PeerIdentity SIDECAR =
      new PeerIdentity("engine-3", 9, Role.SIDECAR, "siliguri-a", "hills", "plan-model");

  private static final RequestId REQUEST = new RequestId("router-1", 7, 41);
  private static final AttemptId FIRST = new AttemptId(REQUEST, 1);
  private static final AttemptId SECOND = new AttemptId(REQUEST, 2);
  private static final Fingerprint FINGERPRINT =
      new Fingerprint("kolkata-strings", "plan-model", "9f86d081");
  private static final CallHead CALL =
      new CallHead(
          "POST", "/v1/chat/completions", List.of(new Header("accept", "text/event-stream")));

  static final Map<String, List<LinkMessage>> ALL =
      Map.of(
          "link-completed", completed(),
          "link-ticket-failures", ticketFailures(),
          "link-costs", costs(),
          "link-table", table(),
          "link-instances", instances(),
          "link-slots", slots(),
          "link-streams", streams());

  private LinkSessions() {}

  private static List<LinkMessage> completed() {
    return List.of(
        new Hello(1, ROUTER, new Bytes(new byte[16])),
        new Hello(1, SIDECAR, new Bytes("0123456789abcdef".getBytes())),
        new HelloProof(Bytes.ofText("proof of the router")),
        new HelloProof(Bytes.ofText("proof of the sidecar")),
        new Heartbeat(12, 3, 2, false, 86_400_000),
        new FreeSlots(4),
        new DemandUpdate(List.of(new WorkspaceDemand("kolkata-strings", 2, 150, 37.5))),
        new Grant(1, "kolkata-strings"),
        start(1, FIRST, Optional.empty()),
        new AttemptHead(FIRST, new ResponseHead(200, List.of(new Header("a", "বাংলা")))),
        new AttemptContent(FIRST, 0, Bytes.ofText("data: {}\n\n")),
        new AttemptCredit(FIRST, 10),
        new AttemptEnd(FIRST, 1, 37),
        new Grant(2, "kolkata-strings"),
        new GrantDeclined(2));
  }

  private static List<LinkMessage> streams() {
    StreamKey key = StreamKey.of("kolkata-strings", "plan-model", "9c41d07be2a35f68");
    return List.of(
        new StreamBegan(key, "v7"),
        new OriginRequest(5, key, "plan-model", 30_000),
        new OriginReply(5, true, "v7", false, List.of()),
        new OriginReply(6, false, "", true, List.of("v7", "v8")),
        new SoftwareVersionsRequest(7, "plan-model", 30_000),
        new SoftwareVersionsReply(7, true, List.of("v7")));
  }

  private static List<LinkMessage> ticketFailures() {
    Ticket ticket = new Ticket("kolkata-strings", "plan-model", "engine-3", 9, 1_000, REQUEST);
    return List.of(
        start(3, FIRST, Optional.of(ticket)),
        new AttemptNotRun(FIRST, Reason.TICKET_EXPIRED),
        start(4, SECOND, Optional.of(ticket)),
        new WithdrawAttempt(SECOND),
        new AttemptFailed(SECOND, Reason.UPSTREAM_DIED));
  }

  private static List<LinkMessage> costs() {
    List<WorkspaceCost> costs = List.of(new WorkspaceCost("kolkata-strings", 1e9 + 0.25));
    return List.of(
        new CostReport(costs, List.of("kolkata-strings", "howrah-winds")),
        new FleetCosts(7, costs),
        new DataCentreCosts("plan-model", costs),
        new SuspicionReport(List.of(new Suspicion(FINGERPRINT, "engine-3", 9, 1, true))),
        new DirectCrashReport(
            List.of(new Suspicion(FINGERPRINT, "engine-3", 9, 0, false)), List.of(FINGERPRINT)),
        new DirectCrashReport(
            List.of(),
            List.of(new Suspicion(FINGERPRINT, "engine-4", 9, 0, false)),
            List.of(),
            List.of(FINGERPRINT)),
        new CostChanges(costs, List.of("siliguri-festival"), List.of("howrah-winds")));
  }

  private static List<LinkMessage> table() {
    return List.of(
        new ManifestRequest(11),
        new ManifestTransfer(12, List.of(new PageReference("workspaces-1", "ab12", 17))),
        new PageRequest("ab12"),
        new PageTransfer("ab12", Bytes.ofText("workspace,weight\n")),
        new PageTransfer("cd34", Bytes.EMPTY),
        new ConfirmationRequest(5),
        new ConfirmationTransfer(5, 12, 2, 1_040));
  }

  private static List<LinkMessage> instances() {
    return List.of(
        new InstancesRequest(2, 1),
        new InstancesTransfer(
            new InstanceList(
                3,
                List.of(
                    new Instance(
                        "engine-3",
                        Role.SIDECAR,
                        "127.0.2.3",
                        7003,
                        9003,
                        "siliguri-a",
                        "hills",
                        "plan-model",
                        true)),
                List.of(
                    new Upstream(
                        "engine-4",
                        5,
                        "plan-model",
                        "127.0.2.4",
                        8004,
                        "siliguri-a",
                        64,
                        false,
                        true,
                        "v17")),
                Set.of("siliguri-a", "kolkata-a"),
                2)),
        new KnownRouters(
            List.of(
                new Instance(
                    "router-1",
                    Role.ROUTER,
                    "127.0.1.1",
                    7001,
                    9001,
                    "kolkata-a",
                    "x",
                    "",
                    false))));
  }

  private static List<LinkMessage> slots() {
    WaitingCall plain =
        new WaitingCall(
            REQUEST, "kolkata-strings", "engine-4", -20, 900, false, false, Optional.empty());
    WaitingCall model =
        new WaitingCall(
            REQUEST,
            "kolkata-strings",
            "",
            1_000,
            15_000,
            true,
            true,
            4_200,
            Optional.of(
                new PromptMetadata(
                    "m",
                    1_460,
                    80,
                    256,
                    OptionalInt.of(64),
                    List.of(new PromptPart("m 5c", 800), new PromptPart("m 91", 660)))),
            "layout",
            AllowedRegions.only(Set.of("bengal", "assam")),
            "v17");
    ReceivedLoad load = new ReceivedLoad(new UpstreamLoadReport(12, 3, 64, OptionalInt.of(170)), 4);
    return List.of(
        new SlotsWanted("chair-desk", false, List.of(plain), List.of()),
        new SlotsWanted(
            "plan-model", true, List.of(model), List.of(new HeldSlot(model, "engine-4", true)), 12),
        new SlotGranted("plan-model", REQUEST, "engine-4", true, 35, 900, "v17"),
        new SlotsChanged(
            "plan-model",
            Arrays.stream(SlotStage.values())
                .map(stage -> new SlotChange(REQUEST, "engine-4", stage, 80))
                .toList()),
        new SlotsChanged("plan-model", List.of(started(Optional.of(load)))),
        new SlotRefused("plan-model", REQUEST, 1_000, "siliguri-a"),
        new SlotRecalled("plan-model", REQUEST, "engine-4"),
        new AllocatorLoad("plan-model", "siliguri-a", 35),
        new AllocatorLoad(
            "plan-model", "siliguri-a", 35, Optional.of(new MeasuredCapacity(6, 21.5, 0.0175))),
        new AllocatorCosts(
            "plan-model", 41_000, List.of(new WorkspaceCost("kolkata-strings", 1_620))),
        new UpstreamUnavailable("plan-model", "engine-4", 5, true, 1_500));
  }

  private static SlotChange started(Optional<ReceivedLoad> load) {
    return new SlotChange(REQUEST, "engine-4", SlotStage.RESPONSE_STARTED, 80, 210, load);
  }

  private static StartAttempt start(long grant, AttemptId attempt, Optional<Ticket> ticket) {
    return new StartAttempt(
        grant,
        attempt,
        "kolkata-strings",
        CALL,
        Bytes.ofText("{\"prompt\":\"seats\"}"),
        119_000,
        false,
        grant == 4,
        FINGERPRINT,
        ticket,
        262_144);
  }
}
