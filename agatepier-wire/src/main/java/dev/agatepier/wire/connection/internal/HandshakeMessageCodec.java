package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.Hello;
import dev.agatepier.core.connection.LinkMessage.HelloProof;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import java.util.List;

/** Encodes the handshake messages and the heartbeat of a link. */
public final class HandshakeMessageCodec implements MessageTypeProvider {

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            1, Hello.class, 9, HandshakeMessageCodec::writeHello, HandshakeMessageCodec::readHello),
        new MessageType<>(
            2,
            HelloProof.class,
            1,
            (message, output) -> output.writeBytes(message.code()),
            input -> new HelloProof(input.readBytes())),
        new MessageType<>(
            3,
            Heartbeat.class,
            5,
            HandshakeMessageCodec::writeHeartbeat,
            input ->
                new Heartbeat(
                    input.readLong(),
                    input.readLong(),
                    input.readLong(),
                    input.readBoolean(),
                    input.readLong())));
  }

  private static void writeHello(Hello hello, FieldOutput output) {
    PeerIdentity peer = hello.peer();
    output.writeInt(hello.protocolVersion());
    output.writeString(peer.instance());
    output.writeLong(peer.incarnation());
    output.writeString(peer.role().name());
    output.writeString(peer.dataCentre());
    output.writeString(peer.region());
    output.writeString(peer.service());
    output.writeInt(peer.capacity());
    output.writeBytes(hello.nonce());
  }

  private static Hello readHello(FieldInput input) {
    int version = input.readInt();
    PeerIdentity peer =
        new PeerIdentity(
            input.readString(),
            input.readLong(),
            Role.valueOf(input.readString()),
            input.readString(),
            input.readString(),
            input.readString(),
            input.readInt());
    return new Hello(version, peer, input.readBytes());
  }

  private static void writeHeartbeat(Heartbeat heartbeat, FieldOutput output) {
    output.writeLong(heartbeat.tableVersion());
    output.writeLong(heartbeat.instancesVersion());
    output.writeLong(heartbeat.evacuatedRevision());
    output.writeBoolean(heartbeat.draining());
    output.writeLong(heartbeat.clockMillis());
  }
}
