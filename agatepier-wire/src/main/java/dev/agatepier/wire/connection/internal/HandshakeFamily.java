package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.Hello;
import dev.agatepier.core.connection.LinkMessage.HelloProof;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import java.util.List;

/** Messages that set a link up and keep it. */
public final class HandshakeFamily implements MessageFamily {

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            1, Hello.class, 8, HandshakeFamily::writeHello, HandshakeFamily::readHello),
        new MessageType<>(
            2,
            HelloProof.class,
            1,
            (message, output) -> output.bytes(message.code()),
            input -> new HelloProof(input.bytes())),
        new MessageType<>(
            3,
            Heartbeat.class,
            4,
            HandshakeFamily::writeHeartbeat,
            input -> new Heartbeat(input.number(), input.number(), input.flag(), input.number())));
  }

  private static void writeHello(Hello hello, FieldOutput output) {
    PeerIdentity peer = hello.peer();
    output.integer(hello.protocolVersion());
    output.text(peer.instance());
    output.number(peer.incarnation());
    output.text(peer.role().name());
    output.text(peer.dataCentre());
    output.text(peer.region());
    output.text(peer.service());
    output.bytes(hello.nonce());
  }

  private static Hello readHello(FieldInput input) {
    int version = input.integer();
    PeerIdentity peer =
        new PeerIdentity(
            input.text(),
            input.number(),
            Role.valueOf(input.text()),
            input.text(),
            input.text(),
            input.text());
    return new Hello(version, peer, input.bytes());
  }

  private static void writeHeartbeat(Heartbeat heartbeat, FieldOutput output) {
    output.number(heartbeat.tableVersion());
    output.number(heartbeat.instancesVersion());
    output.flag(heartbeat.draining());
    output.number(heartbeat.clockMillis());
  }
}
