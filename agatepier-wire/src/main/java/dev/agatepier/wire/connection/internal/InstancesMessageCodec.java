package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage.InstancesRequest;
import dev.agatepier.core.connection.VersionMessage.InstancesTransfer;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Set;

/** Encodes the messages that distribute the instance list of the platform between peers. */
public final class InstancesMessageCodec implements MessageTypeProvider {

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            50,
            InstancesRequest.class,
            2,
            (message, output) -> {
              output.writeLong(message.knownVersion());
              output.writeLong(message.knownEvacuatedRevision());
            },
            input -> new InstancesRequest(input.readLong(), input.readLong())),
        new MessageType<>(
            51,
            InstancesTransfer.class,
            5,
            (message, output) -> writeList(message.list(), output),
            input -> new InstancesTransfer(readList(input))),
        new MessageType<>(
            52,
            KnownRouters.class,
            1,
            (message, output) ->
                output.writeList(message.routers(), InstancesMessageCodec::writeInstance),
            input -> new KnownRouters(input.readList(InstancesMessageCodec::readInstance))));
  }

  private static void writeList(InstanceList list, FieldOutput output) {
    output.writeLong(list.version());
    output.writeList(list.instances(), InstancesMessageCodec::writeInstance);
    output.writeList(list.upstreams(), InstancesMessageCodec::writeUpstream);
    output.writeList(list.evacuated().stream().sorted().toList(), FieldOutput::writeString);
    output.writeLong(list.evacuatedRevision());
  }

  private static InstanceList readList(FieldInput input) {
    return new InstanceList(
        input.readLong(),
        input.readList(InstancesMessageCodec::readInstance),
        input.readList(InstancesMessageCodec::readUpstream),
        Set.copyOf(input.readList(FieldInput::readString)),
        input.readLong());
  }

  private static void writeUpstream(FieldOutput output, Upstream upstream) {
    output.writeString(upstream.name());
    output.writeLong(upstream.incarnation());
    output.writeString(upstream.service());
    output.writeString(upstream.address());
    output.writeInt(upstream.port());
    output.writeString(upstream.dataCentre());
    output.writeInt(upstream.slots());
    output.writeBoolean(upstream.leaving());
    output.writeBoolean(upstream.cold());
    output.writeString(upstream.softwareVersion());
  }

  private static Upstream readUpstream(FieldInput input) {
    return new Upstream(
        input.readString(),
        input.readLong(),
        input.readString(),
        input.readString(),
        input.readInt(),
        input.readString(),
        input.readInt(),
        input.readBoolean(),
        input.readBoolean(),
        input.readString());
  }

  private static void writeInstance(FieldOutput output, Instance instance) {
    output.writeString(instance.name());
    output.writeString(instance.role().name());
    output.writeString(instance.address());
    output.writeInt(instance.port());
    output.writeInt(instance.administrationPort());
    output.writeString(instance.dataCentre());
    output.writeString(instance.region());
    output.writeString(instance.service());
    output.writeBoolean(instance.leaving());
  }

  private static Instance readInstance(FieldInput input) {
    return new Instance(
        input.readString(),
        Role.valueOf(input.readString()),
        input.readString(),
        input.readInt(),
        input.readInt(),
        input.readString(),
        input.readString(),
        input.readString(),
        input.readBoolean());
  }
}
